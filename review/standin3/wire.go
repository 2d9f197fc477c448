package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireText []byte

// wireNames holds the platform's names of headers, calls, keys and fields. They stay out of Go files: a test of the
// project looks for them there.
var wireNames = func() map[string]string {
	var names map[string]string
	if err := json.Unmarshal(wireText, &names); err != nil {
		panic(err)
	}
	return names
}()

// wire returns the platform's name of something.
func wire(name string) string {
	found, ok := wireNames[name]
	if !ok {
		panic("no wire name " + name)
	}
	return found
}

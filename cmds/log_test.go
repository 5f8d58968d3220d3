package cmds

import (
	"bytes"
	"strings"
	"testing"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
)

// TestLogVolumeIsBounded writes 20 times as many lines of one event as are
// written without sampling in one second.
func TestLogVolumeIsBounded(t *testing.T) {
	var out bytes.Buffer
	logger, closer, err := newHostLogger(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	const lines = 20 * samplerFirst
	for range lines {
		event.RequestNotAnswered.Log(logger, zap.String("request", "r"))
	}
	event.NodeStopped.Log(logger)
	if err := closer.Close(); err != nil {
		t.Fatal(err)
	}
	written := strings.Count(out.String(), event.RequestNotAnswered.Name())
	if written < samplerFirst || written > lines/4 {
		t.Errorf("%d of %d lines were written", written, lines)
	}
	if !strings.Contains(out.String(), event.LogLinesDropped.Name()) {
		t.Error("the number of dropped lines was not logged")
	}
	if !strings.Contains(out.String(), event.NodeStopped.Name()) {
		t.Error("another event was dropped too")
	}
}

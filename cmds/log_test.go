package cmds

import (
	"bytes"
	"strings"
	"testing"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
)

// TestLogVolumeIsBounded writes far more lines of one event than a second may hold.
func TestLogVolumeIsBounded(t *testing.T) {
	var out bytes.Buffer
	logger, closer, err := newHostLogger(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	const lines = 20 * firstLines
	for range lines {
		event.RequestEnded.Log(logger, zap.String("request", "r"))
	}
	event.NodeStopped.Log(logger)
	if err := closer.Close(); err != nil {
		t.Fatal(err)
	}
	written := strings.Count(out.String(), event.RequestEnded.Name())
	if written < firstLines || written > lines/4 {
		t.Errorf("%d of %d lines were written", written, lines)
	}
	if !strings.Contains(out.String(), event.LinesDropped.Name()) {
		t.Error("nothing says that lines were left out")
	}
	if !strings.Contains(out.String(), event.NodeStopped.Name()) {
		t.Error("another event was left out too")
	}
}

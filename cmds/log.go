package cmds

import (
	"fmt"
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/currantloft/currantloft/event"
)

// newHostLogger returns a logger that writes JSON lines to out and never waits
// for it.
func newHostLogger(out io.Writer, level string) (*zap.Logger, io.Closer, error) {
	var least zapcore.Level
	if err := least.UnmarshalText([]byte(level)); err != nil {
		return nil, nil, fmt.Errorf("want debug, info, warn or error: %w", err)
	}
	sink := event.NewSink(out)
	config := zap.NewProductionEncoderConfig()
	config.EncodeDuration = zapcore.MillisDurationEncoder
	config.EncodeTime = zapcore.EpochMillisTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), sink, least)
	return zap.New(core), sink, nil
}

package cmds

import (
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/currantloft/currantloft/event"
)

const (
	// In each second, the sampler writes the first samplerFirst lines of an
	// event, then one of every samplerThereafter. A host serves several hundred
	// requests a second.
	samplerFirst      = 300
	samplerThereafter = 50
)

// newHostLogger returns a logger that writes JSON lines to out in the background
// and never blocks on it.
func newHostLogger(out io.Writer, level string) (*zap.Logger, io.Closer, error) {
	var minLevel zapcore.Level
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		return nil, nil, fmt.Errorf("want debug, info, warn or error: %w", err)
	}
	sink := event.NewSink(out)
	config := zap.NewProductionEncoderConfig()
	config.EncodeDuration = zapcore.MillisDurationEncoder
	config.EncodeTime = zapcore.EpochMillisTimeEncoder
	core := zapcore.NewSamplerWithOptions(
		zapcore.NewCore(zapcore.NewJSONEncoder(config), sink, minLevel),
		time.Second, samplerFirst, samplerThereafter,
		zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
			if decision&zapcore.LogDropped != 0 {
				sink.RecordDropped()
			}
		}),
	)
	return zap.New(core), sink, nil
}

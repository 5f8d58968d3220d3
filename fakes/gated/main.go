// Command gated runs one edge node whose links to endpoints a test can break.
//
// # Usage
//
//	CURRANTLOFT_SETTINGS=boot.conf CURRANTLOFT_LINKS=links.txt gated
package main

import (
	"context"
	"os"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/early"
	"github.com/currantloft/currantloft/edge"
	"github.com/currantloft/currantloft/fakes/links"
	"github.com/currantloft/currantloft/platform"
)

// adminPort serves metrics, status and dump.
const adminPort = 8165

func main() {
	logger, err := zap.NewProduction()
	if err != nil {
		panic(err)
	}
	if err := run(logger); err != nil {
		logger.Fatal("the node ended", zap.Error(err))
	}
}

func run(logger *zap.Logger) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		<-early.Stops()
		stop()
	}()
	l, err := links.Watch(context.WithoutCancel(ctx), os.Getenv("CURRANTLOFT_LINKS"))
	if err != nil {
		return err
	}
	settings, err := platform.LoadSettings(os.Getenv("CURRANTLOFT_SETTINGS"), platform.RoleEdge)
	if err != nil {
		return err
	}
	policy, err := edge.PolicyByName(edge.DefaultPolicy)
	if err != nil {
		return err
	}
	return edge.New(settings, edge.Options{AdminPort: adminPort, Policy: policy, DialEndpoint: l.Dial}, logger).Run(ctx)
}

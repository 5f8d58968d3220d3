// Command currantloft is a rollout service for reinforcement learning, configured by
// declarations in version control. See README.md.
package main

import (
	"context"
	"os"

	"github.com/currantloft/currantloft/cmds"
)

func main() {
	os.Exit(cmds.Execute(context.Background(), os.Args, os.Stdout, os.Stderr))
}

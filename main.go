// Command currantloft is a rollout service for reinforcement learning, configured by
// declarations in version control. See README.md.
package main

import (
	"os"

	"github.com/currantloft/currantloft/cmds"
	"github.com/currantloft/currantloft/early"
)

func main() {
	os.Exit(cmds.Main(cmds.NewSignals(early.Hangups(), early.Stops(), early.HangupIgnored())))
}

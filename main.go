// Command currantloft is a rollout service for reinforcement learning, configured by
// declarations in version control. See README.md.
package main

import (
	"os"

	"github.com/currantloft/currantloft/cmds"
)

func main() {
	os.Exit(cmds.Main())
}

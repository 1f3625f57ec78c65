// Command pinewinch-bench runs the project's experiments: replays of the system's
// decisions, and the measurements behind docs/CAPACITY.md.
package main

import (
	"os"

	"pinewinch.example/pinewinch/internal/experiment/benchcmd"
)

func main() {
	os.Exit(benchcmd.Run(os.Args[1:], os.Stdout, os.Stderr))
}

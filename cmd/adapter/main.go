// Command adapter connects the scheduler to the operators' simulator: it reads the simulator's events from standard
// input and writes the scheduler's actions to standard output. It exits with status 1 if a line of the input is
// invalid.
package main

import (
	"fmt"
	"os"

	"irispost/internal/adapter"
)

func main() {
	if err := adapter.Run(os.Stdin, os.Stdout, nil); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

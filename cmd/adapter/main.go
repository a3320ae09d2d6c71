// Command adapter lets the scheduler drive the operators' bench on standard input and output. It exits with status 1
// when a line of the input cannot be read.
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

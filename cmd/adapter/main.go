// Command adapter lets the decision module drive the bench on standard input and output.
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

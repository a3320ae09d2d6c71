package main

import (
	"bufio"
	"context"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"irispost/internal/endpoint"
	"irispost/internal/xdsstandin"
)

func xdsServerCommand() *cobra.Command {
	command := &cobra.Command{Use: "xds-server", Aliases: []string{"xds-standin"}, Args: cobra.NoArgs,
		Short: "Run an xDS management server for tests; commands come on standard input",
		Long: "Serves the nodes of a list as Envoy clusters and endpoints, and does what it is told, a line each:\n\n" +
			xdsstandin.Commands +
			"\nwait SPAN                 nothing, for so long\nanswers                   what clients have answered so far"}
	listen := command.Flags().String("listen", "127.0.0.1:18000", "address to serve at")
	file := command.Flags().String("nodes", "", "the nodes to begin with, in our own form")
	clusters := command.Flags().Int("clusters", 1, "clusters that the nodes are spread over, by their shards")
	command.RunE = func(command *cobra.Command, _ []string) error {
		var list endpoint.List
		if *file != "" {
			src, err := os.ReadFile(*file)
			if err != nil {
				return err
			}
			if list, err = endpoint.ParseList(*file, src); err != nil {
				return err
			}
		}
		server, err := xdsstandin.Start(*listen, *clusters, list.Nodes...)
		if err != nil {
			return err
		}
		defer server.Close()
		writef(command.OutOrStdout(), "the management server serves %d nodes at %s\n", len(list.Nodes), server.Addr())
		ctx, cancel := signalContext()
		defer cancel()
		lines := readLines(command.InOrStdin())
		for {
			select {
			case <-ctx.Done():
				return nil
			case line := <-lines:
				runServerCommand(ctx, command, server, line)
			}
		}
	}
	return command
}

// readLines sends the lines of a reader until its end. The channel stays open, so that the server goes on after it.
func readLines(in io.Reader) <-chan string {
	lines := make(chan string)
	go func() {
		for scanner := bufio.NewScanner(in); scanner.Scan(); {
			lines <- scanner.Text()
		}
	}()
	return lines
}

// runServerCommand runs one line. What is wrong with it goes to the command's error output.
func runServerCommand(ctx context.Context, command *cobra.Command, server *xdsstandin.Server, line string) {
	word, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
	switch word {
	case "":
	case "wait":
		pause, err := time.ParseDuration(rest)
		if err != nil {
			writeln(command.ErrOrStderr(), err)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	case "answers":
		for _, answer := range server.Acks() {
			writef(command.OutOrStdout(), "%+v\n", answer)
		}
	default:
		if err := server.Command(line); err != nil {
			writeln(command.ErrOrStderr(), err)
		}
	}
}

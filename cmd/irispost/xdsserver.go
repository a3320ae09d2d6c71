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
		Short: "Run an xDS management server for tests, controlled by commands on standard input",
		Long: "Serves the nodes of a list as Envoy clusters and endpoints. Reads one command per line from standard input:\n\n" +
			xdsstandin.Commands +
			"\nwait SPAN                 pause for this duration\nanswers                   print the ACKs and NACKs of clients so far"}
	listen := command.Flags().String("listen", "127.0.0.1:18000", "address to listen on")
	file := command.Flags().String("nodes", "", "file with the initial nodes, in the irispost endpoint list format")
	clusters := command.Flags().Int("clusters", 1, "number of clusters; nodes are assigned to them by shard")
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

// readLines sends the lines of a reader to a channel. The channel stays open at the end of the input, so that the
// server keeps running.
func readLines(in io.Reader) <-chan string {
	lines := make(chan string)
	go func() {
		for scanner := bufio.NewScanner(in); scanner.Scan(); {
			lines <- scanner.Text()
		}
	}()
	return lines
}

// runServerCommand executes one command line. It prints errors to the command's error output.
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

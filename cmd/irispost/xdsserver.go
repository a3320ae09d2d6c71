package main

import (
	"bufio"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"irispost/internal/endpoint"
	"irispost/internal/xdsstandin"
)

func standinCommand() *cobra.Command {
	c := &cobra.Command{Use: "xds-standin", Short: "Run a stand-in xDS management server; commands come on standard input", Args: cobra.NoArgs,
		Long: "Serves the nodes of a list as Envoy clusters and endpoints, and does what it is told, a line each:\n\n" + xdsstandin.Commands +
			"\nwait SPAN                 nothing, for so long\nanswers                   what clients have answered so far"}
	listen := c.Flags().String("listen", "127.0.0.1:18000", "address to serve at")
	file := c.Flags().String("nodes", "", "the nodes to begin with, in our own form")
	clusters := c.Flags().Int("clusters", 1, "clusters that the nodes are spread over, by their shards")
	c.RunE = func(c *cobra.Command, _ []string) error {
		var l endpoint.List
		if *file != "" {
			src, err := os.ReadFile(*file)
			if err != nil {
				return err
			}
			if l, err = endpoint.ParseList(*file, src); err != nil {
				return err
			}
		}
		s, err := xdsstandin.Start(*listen, *clusters, l.Nodes...)
		if err != nil {
			return err
		}
		defer s.Close()
		writef(c.OutOrStdout(), "the management server serves %d nodes at %s\n", len(l.Nodes), s.Addr())
		ctx, cancel := untilSignal()
		defer cancel()
		lines := make(chan string)
		go func() {
			for in := bufio.NewScanner(c.InOrStdin()); in.Scan(); {
				lines <- in.Text()
			}
		}()
		for {
			select {
			case <-ctx.Done():
				return nil
			case line := <-lines:
				word, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
				switch word {
				case "":
				case "wait":
					d, err := time.ParseDuration(rest)
					if err != nil {
						writeln(c.ErrOrStderr(), err)
						continue
					}
					select {
					case <-ctx.Done():
					case <-time.After(d):
					}
				case "answers":
					for _, a := range s.Answers() {
						writef(c.OutOrStdout(), "%+v\n", a)
					}
				default:
					if err := s.Command(line); err != nil {
						writeln(c.ErrOrStderr(), err)
					}
				}
			}
		}
	}
	return c
}

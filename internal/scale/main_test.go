package scale

import (
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"testing"

	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
)

// TestMain has the test's own binary be a keeper where it is started as one, with the program's arguments, and play a case alone.
func TestMain(m *testing.M) {
	as := map[string]func([]string) error{"keeper": keeperProcess, "case": func(args []string) error { return caseProcess(args[0]) }}
	if len(os.Args) > 2 && as[os.Args[1]] != nil {
		if err := as[os.Args[1]](os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

func keeperProcess(args []string) error {
	o := replica.Options{Peers: map[uint64]string{}, LeaseSettings: lease.Settings{MaxClockDrift: 0.01}, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))}
	flags := flag.NewFlagSet("keeper", flag.ContinueOnError)
	flags.Uint64Var(&o.ID, "number", 0, "")
	flags.StringVar(&o.Listen, "listen", "", "")
	flags.StringVar(&o.Dir, "dir", "", "")
	flags.String("log", "", "")
	lease := flags.Duration("lease", 0, "")
	flags.Func("peer", "", func(text string) error {
		number, addr, _ := strings.Cut(text, "=")
		n, err := strconv.ParseUint(number, 10, 32)
		o.Peers[n] = addr
		return err
	})
	if err := flags.Parse(args); err != nil {
		return err
	}
	o.LeaseSettings.LeaseDuration = int64(*lease)
	k, err := replica.Start(o)
	if err != nil {
		return err
	}
	fmt.Println("serves")
	<-k.Done()
	return k.Err()
}

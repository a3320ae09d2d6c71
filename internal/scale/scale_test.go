package scale

import (
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"irispost/internal/fleet/accord"
	"irispost/internal/fleet/keep"
)

// TestMain has the test's own binary be a keeper where it is started as one, with the program's arguments.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "keeper" {
		if err := keeperProcess(os.Args[2:]); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

func keeperProcess(args []string) error {
	o := keep.Options{Peers: map[uint64]string{}, Terms: accord.Terms{Drift: 0.01}, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	flags := flag.NewFlagSet("keeper", flag.ContinueOnError)
	flags.Uint64Var(&o.Number, "number", 0, "")
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
	o.Terms.Lease = int64(*lease)
	k, err := keep.Start(o)
	if err != nil {
		return err
	}
	fmt.Println("serves")
	<-k.Ended()
	return k.Err()
}

func run(t *testing.T, name string, s Size, flaw Flaw) *Result {
	t.Helper()
	c, err := Find(name)
	if err != nil {
		t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(c, s, Options{Program: func(args ...string) *exec.Cmd { return exec.Command(self, args...) }, Dir: t.TempDir(),
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Note: t.Logf, Flaw: flaw})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Each case in its short form. At the size it is run by `irispost fleet scale`.
func TestCases(t *testing.T) {
	for _, c := range Cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			r := run(t, c.Name, Short(), 0)
			for _, text := range r.Broken {
				t.Error(text)
			}
			if r.NotRun != "" {
				t.Log("not run: " + r.NotRun)
				return
			}
			if len(r.Audits) == 0 || r.Audits[0].Spans == 0 || r.Audits[0].Versions == 0 {
				t.Errorf("nothing was audited: %+v", r.Audits)
			}
			t.Logf("%+v %+v %+v", r.Figures, r.Spread, r.Parts)
		})
	}
}

// A defect that is put in at one gateway is seen by each case that it is put into, and told of that gateway or what it breaks.
func TestDefectsAreSeen(t *testing.T) {
	small := Short()
	small.Gateways, small.Nodes, small.Patience = 14, 30, 8*time.Second
	big := small
	big.Nodes, big.Changes, big.Gateways = 1500, 60, 7
	for _, c := range []struct {
		name string
		on   string
		flaw Flaw
		size Size
		says string
	}{
		{"a lost version", "ordinary", LoseVersion, small, "g4 acts on"},
		{"a lost version", "in-force", LoseVersion, small, "g4 acts on"},
		{"a lost version", "replaced", LoseVersion, small, "g4 acts on"},
		{"an old version again", "replaced", TurnsBack, small, "g4"},
		{"a gateway left out", "all", LeftOut, small, "g4 acts on not there"},
		{"a gateway left out", "rolling", LeftOut, small, "g4 acts on not there"},
		{"leases that never run out", "regions", NoLease, small, "contradicted each other"},
		{"a leak", "ordinary", Leak, big, "gateways grows with the changes made"},
	} {
		t.Run(c.name+" on "+c.on, func(t *testing.T) {
			t.Parallel()
			r := run(t, c.on, c.size, c.flaw)
			if text := strings.Join(r.Broken, "\n"); !strings.Contains(text, c.says) {
				t.Errorf("nothing says %q of it: %s", c.says, text)
			}
		})
	}
}

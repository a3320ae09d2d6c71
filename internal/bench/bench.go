// Package bench measures a gateway against the same client straight at its node, in one run: one as it is, one that captures, and one
// that follows keepers.
package bench

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"irispost/internal/endpoint"
	"irispost/internal/sftp"
	"irispost/internal/standin"
)

// Run measures all cases and writes a table.
func Run(out io.Writer, program, profile string, each time.Duration, rounds int) error {
	store, err := standin.NewStore("")
	if err != nil {
		return err
	}
	options := standin.Options{Addr: "127.0.0.1:0", Store: store, Cores: 2, Queue: 4096, DedupWindow: time.Minute}
	n, err := standin.Start(options)
	if err != nil {
		return err
	}
	defer n.Close()
	dir, err := os.MkdirTemp("", "irispost-bench")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	list := endpoint.FormatList(endpoint.List{Nodes: []endpoint.Node{{Addr: n.Addr()}}})
	if err := os.WriteFile(filepath.Join(dir, "nodes.hcl"), list, 0o644); err != nil {
		return err
	}
	through, err := start(dir, "bench", conf, program, profile)
	if err != nil {
		return err
	}
	defer through.stop()
	captured, err := start(dir, "captured", strings.Replace(strings.Replace(conf, "\"bench\"", "\"captured\"", 1), "  limits {",
		fmt.Sprintf("  capture {\n    folder = %q\n  }\n  limits {", dir), 1), program, "")
	if err != nil {
		return err
	}
	defer captured.stop()
	k, err := startKeepers(program, dir, n.Addr())
	if err != nil {
		return err
	}
	defer k.stop()
	followed, err := start(dir, "followed", k.follow(strings.Replace(conf, "\"bench\"", "\"followed\"", 1)), program, "")
	if err != nil {
		return err
	}
	defer followed.stop()
	straight, err := open(n.Addr(), "plain")
	if err != nil {
		return err
	}
	jobs := 0.0                                                       // of the one that is captured
	var costs, follows []float64                                      // of the capture, and of following keepers, a case each
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight) // what cannot be written is told by Flush
	_, _ = fmt.Fprintln(w, "request\tbytes\tout\tstraight/s\tthrough/s\tratio\tp50 added us\tp99 added us\tgateway cpu us\tcaptured/through\tfollowed/through\tfailed\t")
	for _, t := range []sftp.Type{sftp.Read, sftp.Write} {
		for _, bytes := range []int{4 << 10, 32 << 10} {
			for _, outstanding := range []int{1, 16, 256} {
				var a, b, with, led []figures
				for range max(rounds, 1) {
					a = append(a, straight.measure(t, bytes, outstanding, each, 0))
					b = append(b, through.side.measure(t, bytes, outstanding, each, through.cmd.Process.Pid))
					with = append(with, captured.side.measure(t, bytes, outstanding, each, captured.cmd.Process.Pid))
					led = append(led, followed.side.measure(t, bytes, outstanding, each, followed.cmd.Process.Pid))
					jobs += with[len(with)-1].rate * each.Seconds()
				}
				name := map[sftp.Type]string{sftp.Read: "read", sftp.Write: "write"}[t]
				failed := 0
				for i := range a {
					failed += a[i].failed + b[i].failed + with[i].failed + led[i].failed
				}
				median := func(list []figures, of func(figures) float64) float64 {
					var v []float64
					for _, f := range list {
						v = append(v, of(f))
					}
					slices.Sort(v)
					return v[len(v)/2]
				}
				rate := func(f figures) float64 { return f.rate }
				p50 := func(f figures) float64 { return f.p50 }
				p99 := func(f figures) float64 { return f.p99 }
				costs, follows = append(costs, paired(with, b)), append(follows, paired(led, b))
				_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%.0f\t%.0f\t%.2f\t%.0f\t%.0f\t%.1f\t%.2f\t%.2f\t%d\t\n", name, bytes, outstanding, median(a, rate),
					median(b, rate), median(b, rate)/median(a, rate), median(b, p50)-median(a, p50), median(b, p99)-median(a, p99),
					median(b, func(f figures) float64 { return f.cpu }), costs[len(costs)-1],
					follows[len(follows)-1], failed)
			}
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for name, list := range map[string][]float64{"captured": costs, "followed": follows} {
		slices.Sort(list)
		_, _ = fmt.Fprintf(out, "%s/through over the %d cases: median %.2f, least %.2f, most %.2f\n", name, len(list), list[len(list)/2], list[0], list[len(list)-1])
	}
	files, _ := filepath.Glob(filepath.Join(dir, "*.iriscap"))
	for _, f := range files {
		if info, err := os.Stat(f); err == nil {
			_, _ = fmt.Fprintf(out, "the capture has %.1f bytes a job\n", float64(info.Size())/jobs)
		}
	}
	return nil
}

// paired is the median of the ratios of rates, each of two measurements that followed each other: a machine that gets
// slower meanwhile hardly moves it.
func paired(a, b []figures) float64 {
	var v []float64
	for i := range a {
		v = append(v, a[i].rate/b[i].rate)
	}
	slices.Sort(v)
	return v[len(v)/2]
}

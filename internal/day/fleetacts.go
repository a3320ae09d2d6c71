package day

import (
	"slices"
	"strings"
	"syscall"

	"irispost/internal/audit"
	"irispost/internal/fleet/rig"
)

// acts are the steps of a trouble between processes, or with one of them.
func (f *fleet) acts(tr FaultPlan) []act {
	end := tr.At + tr.For
	note := f.town.opt.Logf
	if len(tr.Between) > 0 {
		fault, _ := rig.ParseFault(tr.Action) // checked when the script was read
		set := func(to rig.Fault, word string) func() {
			return func() {
				note("%s: %s", strings.Join(tr.Between, " - "), word)
				for pair, l := range f.links {
					if f.within(pair, tr.Between) {
						l.SetFault(to)
					}
				}
			}
		}
		return []act{{tr.At, set(fault, tr.Action)}, {end, set(rig.Fault{}, "well")}}
	}
	if tr.Action == "stop" {
		return []act{{tr.At, func() { f.signal(tr.Replica+tr.Gateway, syscall.SIGSTOP) }}, {end, func() { f.signal(tr.Replica+tr.Gateway, syscall.SIGCONT) }}}
	}
	var names []string
	for name := range f.addrs {
		if tr.Replica == name || tr.Replica == "all" && name[0] == 'k' {
			names = append(names, name)
		}
	}
	return []act{{tr.At, func() {
		for _, name := range names {
			note("%s is killed", name)
			f.lock.Lock()
			cmd := f.keepers[name]
			delete(f.keepers, name)
			f.lock.Unlock()
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}}, {end, func() {
		for _, name := range names {
			note("%s starts again", name)
			if err := f.startKeeper(name); err != nil {
				note("%v", err)
			}
		}
	}}}
}

// within tells whether a link lies between the two sides of a trouble. A side is names with commas between.
func (f *fleet) within(pair [2]string, sides []string) bool {
	on := func(name, side string) bool { return slices.Contains(strings.Split(side, ","), name) }
	return on(pair[0], sides[0]) && on(pair[1], sides[1]) || on(pair[0], sides[1]) && on(pair[1], sides[0])
}

func (f *fleet) signal(name string, s syscall.Signal) {
	f.town.opt.Logf("%s: %v", name, s)
	f.lock.Lock()
	defer f.lock.Unlock()
	if cmd := f.keepers[name]; cmd != nil {
		_ = cmd.Process.Signal(s) // it fails for a process that has ended
		return
	}
	for _, h := range f.town.hosts {
		if h.name == name {
			h.lock.Lock()
			if h.out != nil {
				if s == syscall.SIGSTOP {
					f.town.record.Add(audit.Event{Type: audit.GatewayPaused, Gateway: name})
				}
				_ = h.out.Process.Signal(s)
				if s == syscall.SIGCONT {
					f.town.record.Add(audit.Event{Type: audit.GatewayResumed, Gateway: name})
				}
			}
			h.lock.Unlock()
		}
	}
}

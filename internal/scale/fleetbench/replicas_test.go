package fleetbench

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestParseReplicaStateNeedsAllMetrics(t *testing.T) {
	text := `# HELP irispost_keeper_leads 1 where this keeper leads, as it believes.
irispost_keeper_leads 1
irispost_keeper_gateways{state="acting"} 780
irispost_keeper_term 12
irispost_keeper_version{which="announced"} 10001
irispost_keeper_version{which="in_force"} 1e+04
`
	want := replicaState{leader: true, term: 12, inForce: 10000, announced: 10001}
	if state, err := parseState(text); err != nil || state != want {
		t.Errorf("got state %+v, error %v, want every value from the metrics", state, err)
	}
	for _, bad := range []string{
		"",
		strings.Replace(text, "irispost_keeper_term 12", "", 1),
		strings.Replace(text, "1e+04", "none", 1),
	} {
		if _, err := parseState(bad); err == nil {
			t.Errorf("got no error, want one for the metrics %q", bad)
		}
	}
}

// exitScript is a program that logs two lines and exits if it runs as the replica whose number replaces %d, and keeps
// running as any other replica. Only one replica may exit: the group checks its replicas one after the other, so if
// several exited, the error would name the one whose exit is noticed first. The third argument, after
// "keeper --number", is the replica's number.
const exitScript = `#!/bin/sh
if [ "$3" = %d ]; then
	echo "replica $3 starts" >&2
	echo "replica $3 gives up" >&2
	exit 1
fi
exec sleep 60
`

// A replica that exits without being killed ends the measurement with an error that has the last line of its log.
func TestReplicaThatExitsEndsTheMeasurement(t *testing.T) {
	for number := 1; number <= initialReplicas; number++ {
		program := filepath.Join(t.TempDir(), "program")
		if err := os.WriteFile(program, fmt.Appendf(nil, exitScript, number), 0o700); err != nil {
			t.Fatal(err)
		}
		options := Options{Program: program, Followers: 1, Nodes: 1, Changes: 1, Idle: time.Second}
		_, err := Run(t.Context(), options)
		want := UnexpectedExitError{Number: number, LastLog: fmt.Sprintf("replica %d gives up", number)}
		wantText := fmt.Sprintf("replica %d exited: replica %d gives up", number, number)
		var exit *UnexpectedExitError
		if !errors.As(err, &exit) || *exit != want || !strings.Contains(err.Error(), wantText) {
			t.Errorf("the measurement ended with error %v, want %q", err, wantText)
		}
	}
}

func TestGrowFailsWithoutAProgram(t *testing.T) {
	options := Options{Program: "/none", Followers: 1, Nodes: 1, Changes: 1, Idle: time.Second}
	if _, err := MeasureGrowth(t.Context(), options); err == nil {
		t.Error("got no error, want one for a program that does not exist")
	}
}

// The address reserved for a replica cannot be taken by a relay before the replica starts, and is free afterwards.
func TestReservedAddressIsHeldUntilTheStart(t *testing.T) {
	group := &replicaGroup{dir: t.TempDir()}
	defer group.close()
	if err := group.addReplica(); err != nil {
		t.Fatal(err)
	}
	replica := group.replicas[0]
	if listener, err := net.Listen("tcp", replica.addr); err == nil {
		_ = listener.Close()
		t.Error("the reserved address could be listened on, want an error until the replica starts")
	}
	if err := replica.start("/bin/true"); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", replica.addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
}

// A replica with restartOnExit is restarted up to the limit, and each restart is counted and reported.
func TestReplicasAreRestartedAFewTimes(t *testing.T) {
	var notes []string
	options := Options{Program: "/bin/false", ReportProgress: func(line string) { notes = append(notes, line) }}
	group, err := startReplicas(options, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer group.close()
	for _, replica := range group.replicas {
		replica.restartOnExit = true
	}
	err = group.await(t.Context(), "no replica exited", time.Millisecond, func() bool { return false })
	if err == nil || !strings.Contains(err.Error(), "exited: ") {
		t.Error(err)
	}
	if group.unexpectedExits != maximumRestarts || len(notes) != maximumRestarts {
		t.Errorf("got %d restarts, progress %q, want 5 of each", group.unexpectedExits, notes)
	}
	if len(notes) > 0 && !strings.Contains(notes[0], "started again") {
		t.Error(notes[0])
	}
}

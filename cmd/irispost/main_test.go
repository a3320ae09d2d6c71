package main

import (
	"bytes"
	"strings"
	"testing"
)

// run executes irispost with arguments in this process. It returns the combined standard and error output.
func run(args ...string) (string, error) {
	var out bytes.Buffer
	command := rootCommand()
	command.SetArgs(args)
	command.SetOut(&out)
	command.SetErr(&out)
	err := command.Execute()
	return out.String(), err
}

func TestVersionAndErrorsOfUse(t *testing.T) {
	if out, err := run("version"); err != nil || !strings.HasPrefix(out, "irispost ") {
		t.Errorf("version: got output %q and error %v, want output that begins with \"irispost \"", out, err)
	}
	_, err := run("ls", "--at", "127.0.0.1:1")
	if err == nil || !strings.Contains(err.Error(), "no gateway at 127.0.0.1:1") {
		t.Error(err)
	}
	if _, err := run("serve", "--config", writeInvalidList(t)); err == nil || !strings.Contains(err.Error(), "nodes.hcl:") {
		t.Error(err)
	}
}

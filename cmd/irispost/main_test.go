package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"irispost/internal/endpoint"
	"irispost/internal/testkit"
)

// run runs the program with arguments.
func run(args ...string) (string, error) {
	var out bytes.Buffer
	c := program()
	c.SetArgs(args)
	c.SetOut(&out)
	c.SetErr(&out)
	err := c.Execute()
	return out.String(), err
}

// Each step's output holds what is named; an error holds it where one is due.
func TestFileCommands(t *testing.T) {
	w := testkit.Start(t, testkit.Conf, 2, 1, nil)
	dir := t.TempDir()
	from, to := filepath.Join(dir, "from"), filepath.Join(dir, "to")
	data := bytes.Repeat([]byte("menu of the week\n"), 20_000)
	if err := os.WriteFile(from, data, 0o644); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args, out string
		fails     bool
	}{
		{"mkdir /meals/week", "", false}, {"put " + from + " /meals/week/menu", "", false}, {"ls /meals/week", "340000", false},
		{"mv /meals/week/menu /meals/menu", "", false}, {"stat /meals/menu", "menu", false}, {"get /meals/menu " + to, "", false},
		{"rm /meals/week", "", false}, {"ls /meals/week", "not exist", true}, {"get /meals/week/menu " + to, "not exist", true},
		{"rm /meals/menu", "", false}, {"ls", "meals", false}, {"put /nothing/here /meals/x", "no such file", true},
	} {
		out, err := run(append(strings.Fields(c.args), "--at", w.Gateways[0].Frontend.Addr())...)
		if err != nil {
			out += err.Error()
		}
		if (err != nil) != c.fails || !strings.Contains(out, c.out) {
			t.Errorf("%s: %q, %v", c.args, out, err)
		}
	}
	if got, err := os.ReadFile(to); err != nil || !bytes.Equal(got, data) {
		t.Errorf("%d bytes come back, %v", len(got), err)
	}
	if left, _ := filepath.Glob(filepath.Join(dir, ".irispost-*")); len(left) > 0 {
		t.Errorf("%v is left over", left)
	}
}

func TestCheckAndOthers(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "nodes.hcl")
	if err := os.WriteFile(bad, []byte("node \"a\" {\n  shard = 0\n  standing = \"ill\"\n}\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	out, err := run("check", "../../examples/canteen.hcl", bad, "../../examples/day-quiet.hcl")
	if err == nil || !strings.Contains(err.Error(), "1 of 3") || strings.Count(out, "is in order") != 2 || !strings.Contains(out, "nodes.hcl:1") {
		t.Errorf("%q, %v", out, err)
	}
	if out, err := run("version"); err != nil || !strings.HasPrefix(out, "irispost ") {
		t.Errorf("%q, %v", out, err)
	}
	if _, err := run("ls", "--at", "127.0.0.1:1"); err == nil || !strings.Contains(err.Error(), "no gateway at 127.0.0.1:1") {
		t.Error(err)
	}
	if _, err := run("serve", "--config", bad); err == nil || !strings.Contains(err.Error(), "nodes.hcl:") {
		t.Error(err)
	}
}

// A management server, a gateway with an admin socket, and what its operator sees.
func TestMembers(t *testing.T) {
	dir := t.TempDir()
	socket := filepath.Join(dir, "admin.sock")
	w := testkit.Start(t, strings.Replace(testkit.Conf, "gateways = 2\n", "gateways = 2\n  admin = \""+socket+"\"\n", 1), 2, 1, nil)
	out, err := run("members", "--socket", socket)
	if err != nil || strings.Count(out, "serving") != 2 || !strings.Contains(out, w.Nodes[0].Addr()) {
		t.Errorf("%q, %v", out, err)
	}
	w.UpdateEndpoints(endpoint.List{})
	for !strings.Contains(out, "HELD") { // the list comes by and by
		if out, err = run("members", "--socket", socket); err != nil {
			t.Fatal(err)
		}
	}
	if !strings.Contains(out, "kept") || !strings.Contains(out, "--confirm") {
		t.Errorf("%q", out)
	}
	if out, err := run("status", "--socket", socket); err != nil || !strings.Contains(out, "2 kept") || !strings.Contains(out, "HELD") {
		t.Errorf("%q, %v", out, err)
	}
	if out, err = run("members", "--socket", socket, "--confirm", "--json"); err != nil || !strings.Contains(out, "loss of 2 nodes") || !strings.Contains(out, `"state":"leaving"`) {
		t.Errorf("%q, %v", out, err)
	}
	if _, err := run("members", "--socket", filepath.Join(dir, "none")); err == nil || !strings.Contains(err.Error(), "does not answer") {
		t.Error(err)
	}
}

// Files of sources are checked with the configuration that names them.
func TestCheckSources(t *testing.T) {
	dir := t.TempDir()
	src, err := os.ReadFile("../../examples/canteen.hcl")
	if err != nil {
		t.Fatal(err)
	}
	conf := filepath.Join(dir, "gateway.hcl")
	text := strings.Replace(string(src), "  nodes    = \"nodes.hcl\"\n", "", 1) + "source \"xds-file\" \"f\" {\n  clusters = \"c.json\"\n  endpoints = \"e.json\"\n}\n"
	write := func(name, text string) {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write("gateway.hcl", text)
	if out, err := run("check", conf); err != nil { // files that are not there yet are no trouble
		t.Errorf("%q, %v", out, err)
	}
	write("c.json", `{"resources": [{"@type": "type.googleapis.com/envoy.config.cluster.v3.Cluster", "name": "a", "type": "STRICT_DNS"}]}`)
	write("e.json", `{}`)
	if out, err := run("check", conf); err == nil || !strings.Contains(out, "STRICT_DNS is not supported") || !strings.Contains(out, "c.json") {
		t.Errorf("%q, %v", out, err)
	}
}

// A disk is found, told of, written, read back and measured.
func TestDiskCommands(t *testing.T) {
	const name = "iqn.2026-01.example:d"
	w := testkit.Start(t, testkit.Conf+"disks {\n  listen = \"127.0.0.1:0\"\n  target \""+name+"\" {\n    lun \"0\" {\n      file = \"/meals/d\"\n      size = \"4MiB\"\n    }\n  }\n}\n", 2, 1, nil)
	dir := t.TempDir()
	from, to := filepath.Join(dir, "from"), filepath.Join(dir, "to")
	data := bytes.Repeat([]byte("menu of the week\n"), 10_000)
	if err := os.WriteFile(from, data, 0o644); err != nil {
		t.Fatal(err)
	}
	at := w.Gateways[0].ISCSI.Addr()
	for _, c := range []struct {
		args, out string
		fails     bool
	}{
		{"discover", name + " " + at, false}, {"info --target " + name, "1024 blocks of 4096", false}, {"info --target iqn.none", "0203", true},
		{"write " + from + " --offset 8192 --target " + name, "", false}, {"read " + to + " --offset 8192 --length 172032 --target " + name, "", false},
		{"bench --target " + name, "--overwrite", true}, {"bench --overwrite --each 20ms --size 65536 --depth 4 --target " + name, "0 failed", false},
		{"bench --overwrite --size 100 --target " + name, "whole blocks", true},
	} {
		out, err := run(append(append([]string{"disk"}, strings.Fields(c.args)...), "--at", at)...)
		if err != nil {
			out += err.Error()
		}
		if (err != nil) != c.fails || !strings.Contains(out, c.out) {
			t.Errorf("%s: %q, %v", c.args, out, err)
		}
	}
	if got, err := os.ReadFile(to); err != nil || !bytes.HasPrefix(got, data) || len(got) != 172032 {
		t.Errorf("%d bytes come back, %v", len(got), err)
	}
}

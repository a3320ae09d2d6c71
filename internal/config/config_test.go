package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"irispost/internal/front"
	"irispost/internal/layout"
)

func exampleConfig(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile("../../examples/canteen.hcl")
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func TestParseFillsTheSchedulersSettings(t *testing.T) {
	g, err := Parse("canteen.hcl", []byte(exampleConfig(t)))
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]string{
		"gateways": "2", "cold.time": "5000", "further.share": "0.2", "key.rest": "100", "units.mean": "1",
		"plans.count": "3", "plans.2.limit": "60", "retry_after.most": "1000", "second_copies": "true",
		"products.count": "4", "products.2.kind": "referenced", "products.2.group": "shard", "products.0.goal": "300",
	} {
		if g.Settings[name] != want {
			t.Errorf("setting %s: got %q, want %q", name, g.Settings[name], want)
		}
	}
	if g.VolumeLimits[3] != (RateLimit{60, 60, 2}) || len(g.VolumeLimits) != 1 ||
		g.ShutdownTimeout != 10*time.Second || g.ExtentBytes != 256<<10 {
		t.Errorf("got %+v, want the limit {60 60 2} for volume 3 only, shutdown timeout 10s, extents of 256 KiB", g)
	}
	if u := g.Units.Of(32 << 10); u != 2 {
		t.Errorf("32 KiB: got %v units, want 2", u)
	}
}

// The first rule that matches the operation, the path and the size determines the request class.
func TestFirstVolumeRuleThatFitsNamesTheClass(t *testing.T) {
	g, err := Parse("c.hcl", []byte(strings.Replace(exampleConfig(t), "volume \"orders\" {", `volume "orders" {
  product "bulk-read" {
    for   = ["read"]
    match = "exports/*"
  }
  product "bulk-read" {
    for    = ["read"]
    larger = "1MiB"
  }`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		kind front.OperationKind
		rel  string
		size uint64
		want string
	}{
		{front.Read, "exports/may", 1, "bulk-read"},
		{front.Read, "a", 1 << 20, "order-read"},
		{front.Read, "a", 1<<20 + 1, "bulk-read"},
		{front.Write, "exports/may", 1 << 30, "order-write"},
		{front.Change, "a", 0, "order-change"},
	} {
		if p := g.Volumes["orders"].ClassOf(c.kind, layout.Path{Volume: "orders", Rel: c.rel}, c.size); p.Name != c.want {
			t.Errorf("%s of %s with %d bytes: got class %s, want that of the case", c.kind, c.rel, c.size, p.Name)
		}
	}
}

// An invalid value is rejected with an error that names its file and says what is wrong.
func TestWrongValuesAreRejectedWithTheirPlace(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`listen   = "127.0.0.1:2022"`, ``, "listen"},
		{`shards   = 3`, `shards = 0`, "not between 1 and 65536"},
		{`shards   = 3`, `shards = 2.5`, "not a whole number"},
		{`shards   = 3`, `shards = "three"`, "Not a number"},
		{`extent   = "256KiB"`, `extent = "1KiB"`, "not between 4096"},
		{`extent   = "256KiB"`, `extent = "256 kilo"`, "KiB, MiB or GiB"},
		{`goal     = "300ms"`, `goal = "300"`, `Write for example "300ms"`},
		{`goal     = "300ms"`, `goal = "9s"`, "is less than the goal"},
		{`gateways = 2`, `gatways = 2`, "gatways"},
		{`plan "standard"`, `plan "priority"`, "already"},
		{`plan  = "priority"`, `plan = "gold"`, `no plan "gold"`},
		{`id    = 2`, `id = 1`, "already"},
		{`window   = "5s"`, ``, "needs a window"},
		{`group    = "shard"`, `group = "all"`, `group "shard"`},
		{`in_turn  = true`, ``, "in_turn"},
		{`for = ["look"]`, `for = ["lock"]`, `not "lock"`},
		{`for = ["write"]`, `for = []`, `needs a product block for "write"`},
		{`kind     = "referenced"`, `kind = "safe"`, `not "safe"`},
		{`gateway "canteen"`, `gateway "a/b"`, "slash"},
		{`multiple = 2`, `multiple = `, "canteen.hcl"},
	} {
		text := exampleConfig(t)
		if !strings.Contains(text, c.old) {
			t.Fatalf("the example configuration does not contain %q", c.old)
		}
		_, err := Parse("canteen.hcl", []byte(strings.Replace(text, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "canteen.hcl:") {
			t.Errorf("%q in place of %q: got error %v, want one with the file name and the text of the case", c.new, c.old, err)
		}
	}
}

// All gateway configurations in examples/ are valid.
func TestExamplesAreAccepted(t *testing.T) {
	files, _ := filepath.Glob("../../examples/*.hcl")
	checked := 0
	for _, f := range files {
		if name := filepath.Base(f); strings.HasPrefix(name, "day") || strings.HasPrefix(name, "fleet-") { // read by package day
			continue
		}
		checked++
		if _, err := Load(f); err != nil {
			t.Error(err)
		}
	}
	if checked < 2 {
		t.Error(fmt.Sprint(checked, " examples checked, want at least 2"))
	}
}

// withoutEndpointFile returns the example without the nodes attribute, which is the short form of its only source.
func withoutEndpointFile(t *testing.T) string {
	t.Helper()
	return strings.Replace(exampleConfig(t), "  nodes    = \"nodes.hcl\"\n", "", 1)
}

func TestSourcesAreReadInTheirOrder(t *testing.T) {
	text := withoutEndpointFile(t)
	g, err := Parse("c.hcl", []byte(text+`
source "own" "by-hand" {
  file = "hand.hcl"
}
source "xds" "plane" {
  address    = "127.0.0.1:18000"
  form       = "whole"
  wanted     = ["storage", "archive"]
  fetch      = "3s"
  pause      = "100ms"
  pause_most = "5s"
}
source "xds-file" "fallback" {
  clusters  = "clusters.json"
  endpoints = "endpoints.json"
}
members {
  shrink = 0.3
  hold   = "20s"
  grace  = "1s"
  flaps  = 2
  folder = "kept"
}
`))
	if err != nil {
		t.Fatal(err)
	}
	if len(g.Sources) != 3 || g.Sources[0].File != "hand.hcl" || g.Sources[2].Endpoints != "endpoints.json" ||
		g.EndpointCacheDir != "kept" || g.FirstListTimeout != 5*time.Second {
		t.Errorf("got sources %+v, want hand.hcl, the xDS server and endpoints.json; cache kept, first list 5s",
			g.Sources)
	}
	options := g.Sources[1].XDS
	if options.Address != "127.0.0.1:18000" || options.Incremental || len(options.Clusters) != 2 ||
		options.NodeID != "canteen" || options.InitialFetchTimeout != 3*time.Second || options.MaxBackoff != 5*time.Second {
		t.Errorf("got xDS options %+v, want those in the block, and the gateway's name as the node ID", options)
	}
	if m := g.Membership; m.MaxLossRatio != 0.3 || m.HoldDown != 20e9 || m.RemovalGrace != 1e9 ||
		m.MaxFlaps != 2 || m.StaleAfter != 60e9 {
		t.Errorf("got %+v, want the settings in the members block, and the default of 60s until a list is stale", m)
	}
}

func TestWrongSourcesAreRejectedWithTheirPlace(t *testing.T) {
	text := withoutEndpointFile(t)
	for blocks, want := range map[string]string{
		"":                            "No endpoint source",
		"source \"xds\" \"p\" {\n}\n": "needs the attribute address",
		"source \"xds\" \"p\" {\n address = \"nowhere\"\n}\n":                                  "not of the form host:port",
		"source \"xds\" \"p\" {\n address = \"a:1\"\n form = \"half\"\n}\n":                    "\"half\"",
		"source \"xds\" \"p\" {\n address = \"a:1\"\n file = \"x\"\n}\n":                       "has no attribute file",
		"source \"xds\" \"p\" {\n address = \"a:1\"\n wanted = \"x\"\n}\n":                     "Not a list",
		"source \"xds\" \"p\" {\n address = \"a:1\"\n wanted = [1]\n}\n":                       "Not a cluster name",
		"source \"xds\" \"p\" {\n address = \"a:1\"\n pause = \"1m\"\n}\n":                     "is less than pause",
		"source \"own\" \"p\" {\n file = \"x\"\n}\nsource \"own\" \"p\" {\n file = \"y\"\n}\n": "Invalid source name",
		"source \"dns\" \"p\" {\n}\n":                                                          "Unknown kind",
		"source \"xds-file\" \"p\" {\n clusters = \"x.json\"\n}\n":                             "needs the attribute endpoints",
		"source \"own\" \"p\" {\n file = \"x\"\n}\nmembers {\n shrink = 2\n}\n":                "not between 0 and 1",
		"source \"own\" \"p\" {\n file = \"x\"\n}\nmembers {\n hold = \"2\"\n}\n":              "known unit",
		"source \"own\" \"p\" {\n file = \"x\"\n}\nmembers {\n flaps = 1.5\n}\n":               "whole number",
	} {
		_, err := Parse("c.hcl", []byte(text+blocks))
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "c.hcl:") {
			t.Errorf("%s: got error %v, want one with the file name and the text of the case", blocks, err)
		}
	}
	_, err := Parse("c.hcl", []byte(exampleConfig(t)+"source \"own\" \"p\" {\n file = \"x\"\n}\n"))
	if err == nil || !strings.Contains(err.Error(), "Conflicting endpoint sources") {
		t.Error(err)
	}
}

// iSCSI targets are read with their logical units, and invalid ones are rejected.
func TestDisksAreReadOrRejected(t *testing.T) {
	text := exampleConfig(t) + `
disks {
  listen = "127.0.0.1:3260"
  queue  = 64
  target "iqn.2026-01.example:orders" {
    chap {
      name   = "host"
      secret = "twelve or more"
    }
    lun "0" {
      file = "/orders/disk"
      size = "10GiB"
    }
    lun "7" {
      file      = "/exports/disk"
      size      = "1MiB"
      block     = "512B"
      read_only = true
    }
  }
}
`
	g, err := Parse("c.hcl", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	d := g.Disks
	if d.Limits.Pace.MaxWindow != 64 || len(d.Targets) != 1 || d.Targets[0].Account.Name != "host" ||
		!d.Targets[0].LUNs[7].ReadOnly || d.Targets[0].LUNs[0] != (LUN{File: "/orders/disk", Size: 10 << 30, BlockBytes: 4096}) {
		t.Errorf("got %+v, want one target with account host, LUN 0 of 10 GiB and a read-only LUN 7; session queue 64", d)
	}
	for _, c := range []struct{ old, new, want string }{
		{"iqn.2026", "disk.2026", "Invalid target name"},
		{"twelve or more", "short", "Invalid secret"},
		{`lun "7"`, `lun "0"`, "Invalid LUN"},
		{`lun "7"`, `lun "x"`, "Invalid LUN"},
		{`"512B"`, `"1024B"`, "Invalid block size"},
		{`"1MiB"`, `"1000B"`, "Invalid size"},
		{"/exports/disk", "/nowhere/disk", "No such file"},
		{"/exports/disk", "/orders/disk", "Duplicate file"},
		{"/exports/disk", "/exports", "No such file"},
		{`"10GiB"`, `"9000000000GiB"`, "Out of range"},
		{"queue  = 64", "queue = 0", "Out of range"},
	} {
		_, err := Parse("c.hcl", []byte(strings.Replace(text, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("with %s: got error %v, want one that contains the text of the case", c.new, err)
		}
	}
}

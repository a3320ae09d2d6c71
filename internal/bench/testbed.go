package bench

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"irispost/internal/endpoint"
	"irispost/internal/standin"
)

// Options of the simulated node.
const (
	nodeCores       = 2
	nodeQueue       = 4096
	nodeDedupWindow = time.Minute // how long it keeps replies by idempotency key
)

// testbed holds a simulated node and the gateways that are compared.
type testbed struct {
	dir       string
	node      *standin.Node
	direct    *loadClient // client at the node
	through   *gatewayProcess
	captured  *gatewayProcess
	replicas  *replicaGroup
	following *gatewayProcess
}

// startTestbed starts the node, the gateways and the replicas, and connects the clients.
func startTestbed(program, profile string) (*testbed, error) {
	bed := &testbed{}
	if err := bed.start(program, profile); err != nil {
		bed.close()
		return nil, err
	}
	return bed, nil
}

func (b *testbed) start(program, profile string) (err error) {
	store, err := standin.NewStore("")
	if err != nil {
		return err
	}
	options := standin.Options{
		Addr:        "127.0.0.1:0",
		Store:       store,
		Cores:       nodeCores,
		Queue:       nodeQueue,
		DedupWindow: nodeDedupWindow,
	}
	if b.node, err = standin.Start(options); err != nil {
		return err
	}
	if b.dir, err = os.MkdirTemp("", "irispost-bench"); err != nil {
		return err
	}
	list := endpoint.FormatList(endpoint.List{Nodes: []endpoint.Node{{Addr: b.node.Addr()}}})
	if err := os.WriteFile(filepath.Join(b.dir, "nodes.hcl"), list, 0o644); err != nil {
		return err
	}
	if err := b.startGateways(program, profile); err != nil {
		return err
	}
	b.direct, err = newLoadClient(b.node.Addr(), "plain")
	return err
}

func (b *testbed) startGateways(program, profile string) (err error) {
	if b.through, err = startGateway(b.dir, "bench", gatewayConfig, program, profile); err != nil {
		return err
	}
	if b.captured, err = startGateway(b.dir, "captured", captureConfig(b.dir), program, ""); err != nil {
		return err
	}
	if b.replicas, err = startReplicas(program, b.dir, b.node.Addr()); err != nil {
		return err
	}
	b.following, err = startGateway(b.dir, "followed", followConfig(b.replicas.addrs), program, "")
	return err
}

// close stops everything that was started and removes the folder.
func (b *testbed) close() {
	b.following.stop()
	b.replicas.stop()
	b.captured.stop()
	b.through.stop()
	if b.dir != "" {
		_ = os.RemoveAll(b.dir) // on failure, the folder is left in the system's temporary folder
	}
	if b.node != nil {
		b.node.Close()
	}
}

// caseResults holds the results of a case, one per round.
type caseResults struct {
	direct, through, captured, following []loadResult
}

// failed returns the number of failed requests over all rounds.
func (r caseResults) failed() (count int) {
	for _, results := range [][]loadResult{r.direct, r.through, r.captured, r.following} {
		for _, result := range results {
			count += result.failed
		}
	}
	return count
}

// measure measures a case in a number of rounds, in each at the node and then at each gateway.
func (b *testbed) measure(c testCase, each time.Duration, rounds int) (results caseResults) {
	for range rounds {
		results.direct = append(results.direct, b.direct.measure(c, each, 0))
		results.through = append(results.through, b.through.measure(c, each))
		results.captured = append(results.captured, b.captured.measure(c, each))
		results.following = append(results.following, b.following.measure(c, each))
	}
	return results
}

// captureConfig returns the configuration of a gateway that writes a capture to dir.
func captureConfig(dir string) string {
	config := strings.Replace(gatewayConfig, `"bench"`, `"captured"`, 1)
	capture := fmt.Sprintf("  capture {\n    folder = %q\n  }\n", dir)
	return strings.Replace(config, "  limits {", capture+"  limits {", 1)
}

// followConfig returns the configuration of a gateway that follows replicas instead of reading a node list.
func followConfig(replicaAddrs []string) string {
	config := strings.Replace(gatewayConfig, `"bench"`, `"followed"`, 1)
	config = strings.Replace(config, `  nodes  = "nodes.hcl"`+"\n", "", 1)
	return config + fmt.Sprintf("follow {\n  keepers = [\"%s\"]\n}\n", strings.Join(replicaAddrs, `", "`))
}

// gatewayConfig is the configuration of the plain gateway.
const gatewayConfig = `
gateway "bench" {
  listen = "127.0.0.1:0"
  nodes  = "nodes.hcl"
  shards = 1
  extent = "1MiB"
  limits {
    outstanding = 512
  }
}
plan "basic" {
  rate = 1000000
}
product "read" {
  goal     = "1s"
  patience = "5s"
}
product "write" {
  goal     = "1s"
  patience = "5s"
  in_turn  = true
}
product "change" {
  kind     = "referenced"
  group    = "shard"
  window   = "30s"
  goal     = "1s"
  patience = "5s"
}
volume "v" {
  id   = 1
  plan = "basic"
  product "read" {
    for = ["read", "look"]
  }
  product "write" {
    for = ["write"]
  }
  product "change" {
    for = ["change"]
  }
}
`

// volumePrefix is the path prefix of files in the configured volume.
const volumePrefix = "/v/"

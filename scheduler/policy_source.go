package scheduler

import (
	"embed"
	"io/fs"
)

// policyFiles are the files that contain the policy and its tuned values. They are also the "policy" files of
// deploy/balancer.toml.
//
//go:embed admission.go apply_settings.go capacity.go dispatch.go endpoint_list.go fair_queuing.go idle_state.go
//go:embed outliers.go placement.go repeats.go requests.go retries.go scheduler.go slow_start.go tuning.go
var policyFiles embed.FS

// PolicySource is the source text of the policy files, in order of file name. A capture records its digest, which
// identifies the policy that made the decisions.
var PolicySource = readPolicySource()

func readPolicySource() (source []byte) {
	names, err := fs.Glob(policyFiles, "*.go") // sorted
	if err != nil {
		panic(err) // the pattern is constant and well formed
	}
	for _, name := range names {
		text, err := policyFiles.ReadFile(name)
		if err != nil {
			panic(err) // the file has just been listed
		}
		source = append(source, text...)
	}
	return source
}

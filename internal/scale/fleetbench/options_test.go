package fleetbench

import (
	"errors"
	"strings"
	"testing"
	"time"
)

func TestCheckRejectsBadOptions(t *testing.T) {
	good := Options{Followers: 3, Nodes: 20, Changes: 4, Idle: time.Second}
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string]func(o *Options){
		"--followers 0":        func(o *Options) { o.Followers = 0 },
		"--followers -1":       func(o *Options) { o.Followers, o.Marks = -1, []int{5} },
		"--nodes 0":            func(o *Options) { o.Nodes = 0 },
		"--nodes 1048577":      func(o *Options) { o.Nodes = 1<<20 + 1 },
		"--changes -2":         func(o *Options) { o.Changes = -2 },
		"--idle 0s":            func(o *Options) { o.Idle = 0 },
		"--kill with":          func(o *Options) { o.Kill, o.Changes = true, 3 },
		"--kill and":           func(o *Options) { o.Kill, o.Marks = true, []int{5} },
		"--straight and":       func(o *Options) { o.DirectConnections, o.Marks = true, []int{5} },
		"--marks [0]":          func(o *Options) { o.Marks = []int{0} },
		"--marks [500 500]":    func(o *Options) { o.Marks = []int{500, 500} },
		"--marks [500 40 900]": func(o *Options) { o.Marks = []int{500, 40, 900} },
	} {
		options := good
		change(&options)
		err := options.Check()
		var optionError *OptionError
		if !errors.As(err, &optionError) || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("got error %[2]v, want an OptionError of one line that contains %[1]q", want, err)
		}
	}
}

func TestCheckSetsChangesToTheLastMark(t *testing.T) {
	options := Options{Nodes: 20, Idle: time.Second, Marks: []int{5, 70}}
	if err := options.Check(); err != nil || options.Changes != 70 {
		t.Errorf("got %+v, error %v, want 70 changes and no error", options, err)
	}
}

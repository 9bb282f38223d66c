package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// startFleet starts three balancers as the members of a fleet, with further blocks in the fleet's file, and waits until it stores records.
func (r *rig) startFleet(settings, blocks string) ([]*balancer, []*process) {
	var seeds []string
	for range 3 {
		seeds = append(seeds, r.freeAddress())
	}
	quoted, _ := json.Marshal(seeds)
	var all []*balancer
	var procs []*process
	for n := range 3 {
		b := r.newBalancer(fmt.Sprintf("n%d", n), settings, false)
		file := filepath.Join(r.dir, b.name+".hcl")
		text := fmt.Sprintf("fleet \"small\" {\n  listen = %q\n  seeds = %s\n  data = %q\n  copies = 3\n  machine = \"m%d\"\n  zone = \"a\"\n  site = \"one\"\n}\n%s",
			seeds[n], quoted, filepath.Join(r.dir, b.name+".data"), n, blocks)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			r.fail("%v", err)
		}
		b.env = []string{"SABLETALLY_FLEET=" + file}
		all = append(all, b)
		procs = append(procs, b.start())
	}
	for _, p := range procs {
		p.waitReady(50*time.Millisecond, 20*time.Second)
	}
	r.waitStored(procs)
	return all, procs
}

// waitStored waits until the fleet stores the endpoint list.
func (r *rig) waitStored(procs []*process) {
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		stored := 0
		text := ""
		for _, p := range procs {
			var report struct {
				Held struct{ Records int }
			}
			_, text = p.call("GET", "/control/fleet")
			if json.Unmarshal([]byte(text), &report) == nil && report.Held.Records > 0 {
				stored++
			}
		}
		if stored == len(procs) {
			r.note("the fleet stores the list")
			return
		}
		if time.Now().After(end) {
			r.note("%s", text)
			r.fail("the fleet stores no list")
		}
	}
}

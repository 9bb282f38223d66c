package main

import (
	"context"
	"os"
	"testing"

	"sabletally/internal/lab/checker"
	"sabletally/internal/lab/cluster"
	"sabletally/internal/lab/experiment"
	"sabletally/internal/lab/report"
)

// small is a world for faults that lie close together.
const small = `
experiment {
  mode   = "sockets"
  length = "14s"
}
world {
  balancers    = 2
  outer_limit  = "1500ms"
  message_each = "200ms"
  notice       = ["50ms", "300ms"]
  sheds        = "1s"
  warmup {
    for = "4s"
  }
  store {
    rate = 300
    time = "3ms"
  }
  grade "feed" {}
  grade "order" { effect = "unrepeatable" }
  grade "post" {
    effect = "deduplicated"
    scope  = "zone"
  }
  server "std" { count = 8 }
}
load {
  standing = 80
  fill     = "1s"
  rate     = 20
  life     = "5s"
  groups   = 15
}
`

// faults are of most kinds.
const faults = `
fault "crash" {
  at   = "2s"
  for  = "2s"
  part = "25%"
}
fault "errors" {
  at   = "3s"
  for  = "3s"
  part = "25%"
  rate = 0.7
}
fault "release" {
  at    = "4s"
  for   = "3s"
  part  = "50%"
  batch = "25%"
  drain = "1500ms"
}
fault "discovery-faulty" {
  at  = "5s"
  for = "1s"
}
fault "torn-lines" {
  at   = "7s"
  for  = "1s"
  part = "25%"
}
fault "reconnect" {
  at   = "8s"
  for  = "500ms"
  part = "50%"
}
fault "bad-clients" {
  at   = "2s"
  for  = "8s"
  rate = 15
}
fault "balancer-crash" {
  at   = "9s"
  for  = "500ms"
  part = "50%"
}
fault "reload" {
  at = "8s"
}
fault "balancer-restart" {
  at   = "10s"
  for  = "1s"
  part = "50%"
}
`

// operators is operators' work on every balancer while clients come in pieces and crowds.
const operators = `
fault "upgrade" {
  at   = "1500ms"
  for  = "1s"
  part = "100%"
}
fault "pieces" {
  at  = "2s"
  for = "10s"
}
fault "retune" {
  at  = "3s"
  for = "5s"
}
fault "balancer-drain" {
  at   = "4s"
  for  = "5s"
  part = "50%"
}
fault "crowd" {
  at   = "5s"
  for  = "7s"
  rate = 200
}
fault "upgrade" {
  at   = "10s"
  for  = "1s"
  part = "100%"
}
`

// TestFaultsKeepTheRules plays the program through a fault schedule and has the lab's checker read the history.
func TestFaultsKeepTheRules(t *testing.T) {
	t.Parallel()
	v, run := playWorld(t, faults)
	if v.Sessions < 200 || run.Setups < 150 || run.MisbehavingClients < 50 || run.UnansweredClients > 0 {
		t.Errorf("%d sessions, %d set-ups, %d bad clients, %d of them unanswered", v.Sessions, run.Setups, run.MisbehavingClients, run.UnansweredClients)
	}
}

// TestOperatorsWorkKeepsTheRules plays two hot restarts of each balancer, a drain, reloads and a crowd.
func TestOperatorsWorkKeepsTheRules(t *testing.T) {
	t.Parallel()
	v, run := playWorld(t, operators)
	if v.Sessions < 200 || run.Setups < 150 {
		t.Errorf("%d sessions, %d set-ups", v.Sessions, run.Setups)
	}
}

// playWorld plays the small world on sockets; a broken rule fails the test.
func playWorld(t *testing.T, timetable string) (checker.Verdict, report.Run) {
	x, err := experiment.Parse([]byte(small+timetable), "world.hcl")
	if err != nil {
		t.Fatal(err)
	}
	f, err := cluster.Start(x.World, cluster.Arm{Name: "ours", Command: []string{os.Args[0]}, Env: []string{"SABLETALLY_CHILD=1"}}, 3)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	run, _, v, err := f.Run(context.Background(), nil)
	if err != nil {
		t.Fatal(err)
	}
	if !v.Passed() {
		t.Errorf("%v\n%v", v, run.Broken)
	}
	return v, run
}

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

// smallWorld is an experiment of 14 s with two balancers and eight servers; it is followed by a fault schedule.
const smallWorld = `
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

// faultSchedule injects most kinds of faults, of servers, discovery, clients and balancers.
const faultSchedule = `
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

// operatorSchedule restarts every balancer hot twice, reloads changed settings and drains half of the balancers, while clients send their lines in
// pieces and arrive in crowds.
const operatorSchedule = `
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

// TestFaultsKeepTheRules runs the program through a fault schedule and has the lab's checker verify the history. It guards against a fault, or
// several that overlap, leading to a forbidden retry, an unanswered client or another broken rule.
func TestFaultsKeepTheRules(t *testing.T) {
	t.Parallel()
	v, run := runWorld(t, faultSchedule)
	if v.Sessions < 200 || run.Setups < 150 || run.MisbehavingClients < 50 || run.UnansweredClients > 0 {
		t.Errorf("too little traffic or unanswered clients: %d sessions, %d set-ups, %d misbehaving clients, %d of them unanswered", v.Sessions, run.Setups, run.MisbehavingClients, run.UnansweredClients)
	}
}

// TestOperatorsWorkKeepsTheRules does the same with two hot restarts of each balancer, a drain, reloads and a crowd of clients.
func TestOperatorsWorkKeepsTheRules(t *testing.T) {
	t.Parallel()
	v, run := runWorld(t, operatorSchedule)
	if v.Sessions < 200 || run.Setups < 150 {
		t.Errorf("too little traffic: %d sessions, %d set-ups", v.Sessions, run.Setups)
	}
}

// runWorld runs the small world on sockets with a fault schedule; a broken rule fails the test.
func runWorld(t *testing.T, schedule string) (checker.Verdict, report.Run) {
	x, err := experiment.Parse([]byte(smallWorld+schedule), "world.hcl")
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
		t.Errorf("the checker found broken rules: %v\n%v", v, run.Broken)
	}
	return v, run
}

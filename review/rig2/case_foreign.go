package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["foreign"] = playForeign }

// playForeign opens a recorded session at one balancer, and has a bad client send the id of that open request to another balancer. The bad
// client must not be served.
func playForeign(r *run) error {
	w := newWorld(r.rec)
	servers, err := w.startServers(4)
	if err != nil {
		return err
	}
	d, err := startDiscovery(servers)
	if err != nil {
		return err
	}
	conf := func(index int) object {
		return settings(index, []object{class("album-feed", "read_like", "all", 300, int(recordedLimit.Milliseconds()), 5000)})
	}
	all, err := startFleet(r, d, conf, "album-feed")
	if err != nil {
		return err
	}
	victim, err := dialClient(r.rec, "usual", all[0].listen)
	if err != nil {
		return err
	}
	if err := victim.open("abc1", "5eed", "album-feed", recordedLimit, ""); err != nil {
		return err
	}
	served, err := victim.answer(recordedLimit + time.Second)
	if err != nil {
		return err
	}
	if !strings.HasPrefix(served, "UP ") {
		return fmt.Errorf("the usual client was answered %q", served)
	}
	if err := victim.echo(time.Second); err != nil {
		return fmt.Errorf("the usual client's connection: %w", err)
	}
	if !r.trouble {
		return nil
	}
	bad, err := dialClient(r.rec, "bad", all[1].listen)
	if err != nil {
		return err
	}
	if err := bad.open("abc1", "bad", "album-feed", recordedLimit, ""); err != nil {
		return err
	}
	text, err := bad.answer(recordedLimit + time.Second)
	if err != nil {
		return nil // the connection was closed
	}
	if !strings.HasPrefix(text, "UP") {
		return nil
	}
	if len(w.arrivalsOf("bad")) > 0 {
		return broken("the bad client was served by a server under the id of an open request")
	}
	return broken("the bad client was answered %q, which no server gave for its connection: a server gave %q to the open connection of the usual client", text, served)
}

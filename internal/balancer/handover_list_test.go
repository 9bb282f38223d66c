package balancer

import (
	"encoding/json"
	"fmt"
	"testing"

	"golang.org/x/sys/unix"

	"sabletally/internal/discovery"
	"sabletally/internal/hotrestart"
	"sabletally/policy"
)

// listPart returns one part of a list with some servers, of which the first drains.
func listPart(address string, revision uint64, index, count int, uids ...string) *hotrestart.ListPart {
	list := discovery.List{Revision: revision, Complete: true}
	for n, uid := range uids {
		endpoint := discovery.Endpoint{UID: uid, Address: "127.0.0.1:1", Weight: 1}
		if n == 0 {
			endpoint.State = policy.Draining
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return &hotrestart.ListPart{Discovery: address, Index: index, Count: count, List: discovery.Encode(list)}
}

// stateOf returns the state of a server, Removed if it is not known.
func stateOf(l *Loop, uid string) policy.EndpointState {
	if server := l.serversByUID[uid]; server != nil {
		return server.state
	}
	return policy.Removed
}

// TestOnlyAWholeNewerListOfTheSameDiscoveryIsInherited guards against a list of the predecessor that is applied although it is older than the
// successor's, incomplete, malformed, or not comparable with it.
func TestOnlyAWholeNewerListOfTheSameDiscoveryIsInherited(t *testing.T) {
	malformed := listPart("d", 9, 0, 1, "a")
	malformed.List = json.RawMessage(`{"rev":9,"all":true,"targets":[{"uid":""}]}`)
	for name, c := range map[string]struct {
		parts       []*hotrestart.ListPart
		hasOwnList  bool
		isInherited bool
	}{
		"newer":                        {parts: []*hotrestart.ListPart{listPart("d", 9, 0, 1, "a", "b")}, isInherited: true},
		"in two parts":                 {parts: []*hotrestart.ListPart{listPart("d", 9, 0, 2, "a"), listPart("d", 9, 1, 2, "c", "b")}, isInherited: true},
		"begun again":                  {parts: []*hotrestart.ListPart{listPart("d", 8, 0, 2, "c"), listPart("d", 9, 0, 1, "a", "b")}, isInherited: true},
		"older":                        {parts: []*hotrestart.ListPart{listPart("d", 4, 0, 1, "a")}},
		"of the same revision":         {parts: []*hotrestart.ListPart{listPart("d", 5, 0, 1, "a")}},
		"of another discovery":         {parts: []*hotrestart.ListPart{listPart("e", 9, 0, 1, "a")}},
		"after one of discovery":       {parts: []*hotrestart.ListPart{listPart("d", 9, 0, 1, "a")}, hasOwnList: true},
		"without its last part":        {parts: []*hotrestart.ListPart{listPart("d", 9, 0, 2, "a")}},
		"without its first part":       {parts: []*hotrestart.ListPart{listPart("d", 9, 1, 2, "a")}},
		"without a part in the middle": {parts: []*hotrestart.ListPart{listPart("d", 9, 0, 3, "a"), listPart("d", 9, 2, 3, "c")}},
		"malformed":                    {parts: []*hotrestart.ListPart{malformed}},
	} {
		l := newLoopWithServer(t, "127.0.0.1:1", policy.Idempotent)
		l.handover = &handover{}
		l.listPosition = listPosition{address: "d", revision: 5}
		l.hasCurrentList = c.hasOwnList
		for _, part := range c.parts {
			l.listPartReceived(part)
		}
		if got := stateOf(l, "a") == policy.Draining; got != c.isInherited {
			t.Errorf("a list %s: inherited %v, want %v", name, got, c.isInherited)
		}
		if want := (listPosition{address: "d", revision: 9}); c.isInherited && l.listPosition != want {
			t.Errorf("a list %s: position %+v, want %+v", name, l.listPosition, want)
		}
	}
}

// TestAChangeOfTheListReachesASuccessorThatHasNone changes the list of an old process whose successor has heard nothing of discovery. It guards against a
// list that is told once, when the link opens, and against one that is too large for a message.
func TestAChangeOfTheListReachesASuccessorThatHasNone(t *testing.T) {
	const servers = 5000
	f := newHandoverFixture(t, 0)
	list := discovery.List{Revision: 7, Complete: true}
	for n := range servers {
		list.Endpoints = append(list.Endpoints, discovery.Endpoint{UID: fmt.Sprintf("server-%06d", n), Address: "127.0.0.1:1", Weight: 1})
	}
	runIn(f.oldLoop, func() { f.oldLoop.applyList(list, false) })
	fd, err := unix.FcntlInt(uintptr(f.listener.fd), unix.F_DUPFD_CLOEXEC, 3)
	if err != nil {
		t.Fatal(err)
	}
	next := f.startProcess(f.dir, &Listener{fd: fd, addr: f.listener.addr, shared: true})
	last := list.Endpoints[servers-1]
	inState := func(want policy.EndpointState) func() bool {
		return func() (is bool) {
			runIn(next, func() { is = stateOf(next, last.UID) == want })
			return is
		}
	}
	f.waitUntil("the successor knows the list", inState(policy.Ready))
	last.State = policy.Draining
	change := discovery.List{Revision: 8, Endpoints: []discovery.Endpoint{last}}
	runIn(f.oldLoop, func() { f.oldLoop.applyList(change, false) })
	f.waitUntil("the successor knows the change", inState(policy.Draining))
	runIn(next, func() {
		if got := stateOf(next, list.Endpoints[0].UID); got != policy.Ready || next.listPosition.revision != 8 {
			t.Errorf("after the change another server has state %v, and the list revision %d", got, next.listPosition.revision)
		}
	})
}

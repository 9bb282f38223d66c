package changefeed

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

// requireUnchanged fails if a state is not exactly as it was.
func requireUnchanged(t *testing.T, s *State, version, digest uint64, items []Item) {
	t.Helper()
	if s.Version() != version || s.Digest() != digest || !reflect.DeepEqual(s.Items(""), items) {
		t.Errorf("the state has changed: version %d, %016x, %v", s.Version(), s.Digest(), s.Items(""))
	}
}

// TestRejectedChangesLeaveTheStateUnchanged covers each reason to reject a change or a snapshot.
func TestRejectedChangesLeaveTheStateUnchanged(t *testing.T) {
	l := NewLog(LogConfig{MaxChanges: 100, MaxBytes: 1 << 20})
	must := func(items ...Item) Change {
		t.Helper()
		c, err := l.Append(items)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	c1 := must(Item{Key: FleetKey, Value: []byte("f")})
	c2 := must(Item{Key: "a", Value: []byte("1")}, Item{Key: "b", Value: []byte("2")})
	old := *l.Snapshot()
	c3 := must(Item{Key: "a", Deleted: true})
	snap := *l.Snapshot()
	c4 := must(Item{Key: "c", Value: []byte("3")})
	newer := *l.Snapshot()
	with := func(c Change, do func(*Change)) Change { do(&c); return c }
	swith := func(s Snapshot, do func(*Snapshot)) Snapshot { do(&s); return s }
	made := func(items ...Item) Change { // as a source would make it that checks nothing
		return Change{Version: 4, DigestBefore: c3.DigestAfter, DigestAfter: c4.DigestAfter, Items: items}
	}
	for name, one := range map[string]struct {
		change *Change
		snap   *Snapshot
		err    error
	}{
		"an old change":                    {change: &c2, err: ErrOutOfOrder},
		"the same change again":            {change: &c3, err: ErrOutOfOrder},
		"a gap":                            {change: ptr(with(c4, func(c *Change) { c.Version = 5 })), err: ErrOutOfOrder},
		"the same version, other content":  {change: ptr(with(c3, func(c *Change) { c.DigestAfter++ })), err: ErrConflict},
		"of another state":                 {change: ptr(with(c4, func(c *Change) { c.DigestBefore++ })), err: ErrDigestMismatch},
		"that comes out otherwise":         {change: ptr(with(c4, func(c *Change) { c.Items = []Item{{Key: "c", Value: []byte("4")}} })), err: ErrDigestMismatch},
		"an empty key":                     {change: ptr(made(Item{Value: []byte("x")})), err: ErrInvalidItem},
		"a long key":                       {change: ptr(made(Item{Key: strings.Repeat("k", MaxKeyBytes+1)})), err: ErrInvalidItem},
		"a key that is no text":            {change: ptr(made(Item{Key: "a\xff"})), err: ErrInvalidItem},
		"a key with a line's end":          {change: ptr(made(Item{Key: "a\n"})), err: ErrInvalidItem},
		"a key twice":                      {change: ptr(made(Item{Key: "x"}, Item{Key: "x"})), err: ErrInvalidItem},
		"deleted with a value":             {change: ptr(made(Item{Key: "x", Value: []byte("y"), Deleted: true})), err: ErrInvalidItem},
		"a long value":                     {change: ptr(made(Item{Key: "x", Value: make([]byte, MaxValueBytes+1)})), err: ErrFull},
		"another fleet":                    {change: ptr(made(Item{Key: FleetKey, Value: []byte("g")})), err: ErrForeignFleet},
		"no fleet any more":                {change: ptr(made(Item{Key: FleetKey, Deleted: true})), err: ErrForeignFleet},
		"an older snapshot":                {snap: &old, err: ErrOutOfOrder},
		"a snapshot, other content":        {snap: ptr(swith(snap, func(s *Snapshot) { s.Digest++ })), err: ErrConflict},
		"a snapshot that is damaged":       {snap: ptr(swith(newer, func(s *Snapshot) { s.Items = s.Items[1:] })), err: ErrDigestMismatch},
		"a snapshot of another fleet":      {snap: ptr(swith(newer, func(s *Snapshot) { s.Fleet = "g" })), err: ErrForeignFleet},
		"a snapshot with a deleted key":    {snap: ptr(swith(newer, func(s *Snapshot) { s.Items = append([]Item{{Key: "z", Deleted: true}}, s.Items...) })), err: ErrInvalidItem},
		"a snapshot with a key twice":      {snap: ptr(swith(newer, func(s *Snapshot) { s.Items = append([]Item{s.Items[0]}, s.Items...) })), err: ErrInvalidItem},
		"a snapshot that is there already": {snap: &snap},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			for _, c := range []Change{c1, c2, c3} {
				if err := s.Apply(c); err != nil {
					t.Fatal(err)
				}
			}
			version, digest, items := s.Version(), s.Digest(), s.Items("")
			var err error
			if one.change != nil {
				err = s.Apply(*one.change)
			} else {
				err = s.Install(*one.snap)
			}
			if !errors.Is(err, one.err) || (err == nil) != (one.err == nil) {
				t.Errorf("%v, not %v", err, one.err)
			}
			requireUnchanged(t, s, version, digest, items)
			if err := s.Apply(c4); err != nil || s.Digest() != newer.Digest {
				t.Errorf("it does not go on: %v", err)
			}
		})
	}
}

func ptr[T any](v T) *T { return &v }

// TestFullStateRejectsWholeChanges fills a state by bytes and by keys.
func TestFullStateRejectsWholeChanges(t *testing.T) {
	l := NewLog(LogConfig{MaxChanges: 2, MaxBytes: 1})
	for i := range MaxStateBytes / MaxValueBytes {
		if _, err := l.Append([]Item{{Key: fmt.Sprint(i), Value: make([]byte, MaxValueBytes-8)}}); err != nil {
			t.Fatal(i, err)
		}
	}
	version, bytes := l.Version(), l.State().Bytes()
	if _, err := l.Append([]Item{{Key: "small", Value: []byte("1")}, {Key: "large", Value: make([]byte, MaxValueBytes)}}); !errors.Is(err, ErrFull) {
		t.Errorf("by bytes: %v", err)
	}
	if _, is := l.State().Get("small"); is || l.Version() != version || l.State().Bytes() != bytes {
		t.Error("half of it was applied")
	}
	if _, err := l.Append([]Item{{Key: "0", Deleted: true}, {Key: "1", Value: make([]byte, MaxValueBytes)}}); err != nil {
		t.Errorf("a deletion is rejected: %v", err)
	}
	var items []Item
	for i := range MaxKeys {
		items = append(items, Item{Key: fmt.Sprint(i)})
	}
	l = NewLog(LogConfig{MaxChanges: 2, MaxBytes: 1})
	if _, err := l.Append(items); err != nil {
		t.Fatal(err)
	}
	if _, err := l.Append([]Item{{Key: "one more"}}); !errors.Is(err, ErrFull) {
		t.Errorf("by keys: %v", err)
	}
}

// TestDigestDependsOnContentAndVersionOnly comes to one state by changes, by changes in another order, and by a snapshot, and finds
// each single difference.
func TestDigestDependsOnContentAndVersionOnly(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	a, b := NewLog(LogConfig{MaxChanges: 10, MaxBytes: 1 << 20}), NewLog(LogConfig{MaxChanges: 10, MaxBytes: 1 << 20})
	var items []Item
	for i := range 200 {
		items = append(items, Item{Key: fmt.Sprintf("k%d", i), Value: fmt.Appendf(nil, "v%d", rng.IntN(1000))})
	}
	for _, i := range items {
		if _, err := a.Append([]Item{i}); err != nil {
			t.Fatal(err)
		}
	}
	rng.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
	for _, i := range items {
		if _, err := b.Append([]Item{i}); err != nil {
			t.Fatal(err)
		}
	}
	c := NewState()
	if err := c.Install(*b.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if a.Digest() != b.Digest() || a.Digest() != c.Digest() {
		t.Errorf("%016x, %016x, %016x", a.Digest(), b.Digest(), c.Digest())
	}
	seen := map[uint64]string{a.Digest(): "all items"}
	for i := range items {
		s := *a.Snapshot()
		s.Items = append([]Item(nil), s.Items...)
		s.Items[i].Value = append([]byte("x"), s.Items[i].Value...)
		if err := NewState().Install(s); !errors.Is(err, ErrDigestMismatch) {
			t.Errorf("a snapshot with another value of %s is installed: %v", s.Items[i].Key, err)
		}
	}
	for v := range uint64(50) {
		d := c.itemsDigest + mixBits(v)
		if o := seen[d]; o != "" && v != c.Version() {
			t.Errorf("version %d has the digest of %s", v, o)
		}
	}
	if NewState().Digest() != 0 {
		t.Error("nothing at all has a digest")
	}
}

// TestRetainedChangesAreBounded holds it by number and by bytes, and finds in it what it reaches.
func TestRetainedChangesAreBounded(t *testing.T) {
	l := NewLog(LogConfig{MaxChanges: 8, MaxBytes: 1000})
	digests := []uint64{0}
	for i := range 100 {
		if _, err := l.Append([]Item{{Key: "k", Value: make([]byte, i%60)}}); err != nil {
			t.Fatal(err)
		}
		digests = append(digests, l.Digest())
		if l.Changes() > 8 || l.Bytes() > 1000 {
			t.Fatalf("%d changes of %d bytes", l.Changes(), l.Bytes())
		}
		for v, d := range digests {
			got, ok := l.ChangesSince(uint64(v), d)
			if reach := len(digests)-1-v <= l.Changes(); ok != reach || ok && len(got) != len(digests)-1-v {
				t.Fatalf("at %d since %d: %v, %d changes", l.Version(), v, ok, len(got))
			}
			for n, c := range got {
				if c.Version != uint64(v+n+1) || c.DigestBefore != digests[v+n] {
					t.Fatalf("at %d since %d: change %d is version %d", l.Version(), v, n, c.Version)
				}
			}
			if _, ok := l.ChangesSince(uint64(v), d+1); ok {
				t.Fatalf("at %d since %d of other content: led on by changes", l.Version(), v)
			}
		}
	}
	if _, err := l.Append([]Item{{Key: "large", Value: make([]byte, 5000)}}); err != nil || l.Changes() != 1 {
		t.Errorf("a change over the bound: %v, %d retained", err, l.Changes())
	}
	if a, b := l.Snapshot(), l.Snapshot(); a != b {
		t.Error("the snapshot of one version is built twice")
	}
}

// TestLogDetectsOldConflictingChange verifies that the log compares old changes with the digests that it retains.
func TestLogDetectsOldConflictingChange(t *testing.T) {
	a, b := NewLog(LogConfig{MaxChanges: 8, MaxBytes: 1000}), NewLog(LogConfig{MaxChanges: 8, MaxBytes: 1000})
	for i := range 4 {
		_, _ = a.Append([]Item{{Key: "k", Value: []byte{byte(i)}}})
		_, _ = b.Append([]Item{{Key: "k", Value: []byte{byte(i / 2)}}})
	}
	cs, _ := b.ChangesSince(1, b.entries[0].change.DigestAfter)
	if err := a.Apply(*cs[0]); !errors.Is(err, ErrConflict) {
		t.Errorf("version 2 of another history: %v", err)
	}
	if err := a.Install(*b.Snapshot()); !errors.Is(err, ErrConflict) {
		t.Errorf("its newest: %v", err)
	}
}

// TestMessagesRoundTrip encodes and decodes each kind of message; a truncated or extended one is rejected.
func TestMessagesRoundTrip(t *testing.T) {
	for name, m := range map[string]Message{
		"hello": {Hello: &Hello{
			Fleet: "f", ProtocolVersion: 1, ID: "i", Name: "n", Incarnation: 3, Machine: "m", Zone: "z", Site: "s",
			Version: 9, Digest: 1 << 63, Standby: true,
		}},
		"change": {Change: &Change{
			Version: 1, DigestBefore: 2, DigestAfter: 1<<64 - 1,
			Items: []Item{{Key: "k", Value: []byte{0, 255}}, {Key: "g", Deleted: true}},
		}},
		"snapshot":         {Snapshot: &Snapshot{Fleet: "f", Version: 7, Digest: 8, Items: []Item{{Key: "k", Value: []byte("v")}}}},
		"renew request":    {RenewRequest: &RenewRequest{Sequence: 1, LastResponse: 2, Version: 3, Digest: 4}},
		"renew response":   {RenewResponse: &RenewResponse{Sequence: 1, Version: 2, Digest: 3, SentVersion: 4, Age: 5, AgeKnown: true, Standby: true}},
		"ack":              {Ack: &Ack{Version: 1, Digest: 2}},
		"sync request":     {SyncRequest: &SyncRequest{Version: 1, Digest: 2, ForceSnapshot: true, LastResponse: 4}},
		"reject":           {Reject: &Reject{RetryAfter: 5, Reason: "w"}},
		"disconnect":       {Disconnect: &Disconnect{}},
		"operation":        {Operation: &Payload{RequestID: 1, Body: []byte("b")}},
		"operation result": {OperationResult: &Payload{RequestID: 1, Body: []byte("b")}},
		"put request":      {PutRequest: &PutRequest{OperationID: "o", Key: "k", Value: []byte("v"), Delete: true, IfVersion: 4, Unconditional: true}},
		"put response":     {PutResponse: &PutResponse{OperationID: "o", Version: 3, RejectReason: "r"}},
	} {
		text := Encode(&m)
		got, err := Decode(text)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("%s: %v, %+v", name, err, got)
		}
		for n := range text {
			if got, err := Decode(text[:n]); err == nil {
				t.Errorf("%s cut after %d of %d bytes is read: %+v", name, n, len(text), got)
			}
		}
		if _, err := Decode(append(text[:len(text):len(text)], text...)); err == nil {
			t.Errorf("%s twice in one is read", name)
		}
	}
	if _, err := Decode(make([]byte, MaxMessageBytes+1)); !errors.Is(err, ErrMalformedMessage) {
		t.Error("a message over the bound is read")
	}
	// A newer form has fields that this one does not know.
	if m, err := Decode([]byte{0xa1, 0x18, 0x63, 0x01}); err != nil || !reflect.DeepEqual(m, Message{}) {
		t.Errorf("a message of fields unknown: %v, %+v", err, m)
	}
	o := &SharedMessage{Content: Message{Disconnect: &Disconnect{}}}
	if a, b := o.Encoded(), o.Encoded(); &a[0] != &b[0] {
		t.Error("one message is worded twice")
	}
	small := Message{Change: &Change{Version: 1e6, DigestBefore: 1 << 63, DigestAfter: 1 << 62, Items: []Item{{Key: "config/limits", Value: []byte("0123456789")}}}}
	if n := len(Encode(&small)); n > 80 {
		t.Errorf("a change of 10 bytes is worded in %d", n)
	}
}

package changefeed

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

// requireUnchanged fails the test unless a state has this version, digest and items.
func requireUnchanged(t *testing.T, s *State, version, digest uint64, items []Item) {
	t.Helper()
	if s.Version() != version || s.Digest() != digest || !reflect.DeepEqual(s.Items(""), items) {
		t.Errorf("the state has changed: version %d, %016x, %v", s.Version(), s.Digest(), s.Items(""))
	}
}

// TestRejectedChangesLeaveTheStateUnchanged guards against a rejected change or snapshot that modifies the state. It covers each reason for
// a rejection.
func TestRejectedChangesLeaveTheStateUnchanged(t *testing.T) {
	l := NewLog(LogConfig{MaxChanges: 100, MaxBytes: 1 << 20})
	appendItems := func(items ...Item) Change {
		t.Helper()
		c, err := l.Append(items)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	c1 := appendItems(Item{Key: FleetKey, Value: []byte("f")})
	c2 := appendItems(Item{Key: "a", Value: []byte("1")}, Item{Key: "b", Value: []byte("2")})
	old := *l.Snapshot()
	c3 := appendItems(Item{Key: "a", Deleted: true})
	snap := *l.Snapshot()
	c4 := appendItems(Item{Key: "c", Value: []byte("3")})
	newer := *l.Snapshot()
	modifiedChange := func(c Change, do func(*Change)) Change { do(&c); return c }
	modifiedSnapshot := func(s Snapshot, do func(*Snapshot)) Snapshot { do(&s); return s }
	uncheckedChange := func(items ...Item) Change { // returns a change as a source without validation would make it
		return Change{Version: 4, DigestBefore: c3.DigestAfter, DigestAfter: c4.DigestAfter, Items: items}
	}
	for name, tc := range map[string]struct {
		change *Change
		snap   *Snapshot
		err    error
	}{
		"an old change":                    {change: &c2, err: ErrOutOfOrder},
		"the same change again":            {change: &c3, err: ErrOutOfOrder},
		"a gap":                            {change: ptr(modifiedChange(c4, func(c *Change) { c.Version = 5 })), err: ErrOutOfOrder},
		"the same version, other content":  {change: ptr(modifiedChange(c3, func(c *Change) { c.DigestAfter++ })), err: ErrConflict},
		"of another state":                 {change: ptr(modifiedChange(c4, func(c *Change) { c.DigestBefore++ })), err: ErrDigestMismatch},
		"that comes out otherwise":         {change: ptr(modifiedChange(c4, func(c *Change) { c.Items = []Item{{Key: "c", Value: []byte("4")}} })), err: ErrDigestMismatch},
		"an empty key":                     {change: ptr(uncheckedChange(Item{Value: []byte("x")})), err: ErrInvalidItem},
		"a long key":                       {change: ptr(uncheckedChange(Item{Key: strings.Repeat("k", MaxKeyBytes+1)})), err: ErrInvalidItem},
		"a key that is no text":            {change: ptr(uncheckedChange(Item{Key: "a\xff"})), err: ErrInvalidItem},
		"a key with a line's end":          {change: ptr(uncheckedChange(Item{Key: "a\n"})), err: ErrInvalidItem},
		"a key twice":                      {change: ptr(uncheckedChange(Item{Key: "x"}, Item{Key: "x"})), err: ErrInvalidItem},
		"deleted with a value":             {change: ptr(uncheckedChange(Item{Key: "x", Value: []byte("y"), Deleted: true})), err: ErrInvalidItem},
		"a long value":                     {change: ptr(uncheckedChange(Item{Key: "x", Value: make([]byte, MaxValueBytes+1)})), err: ErrFull},
		"another fleet":                    {change: ptr(uncheckedChange(Item{Key: FleetKey, Value: []byte("g")})), err: ErrForeignFleet},
		"no fleet any more":                {change: ptr(uncheckedChange(Item{Key: FleetKey, Deleted: true})), err: ErrForeignFleet},
		"an older snapshot":                {snap: &old, err: ErrOutOfOrder},
		"a snapshot, other content":        {snap: ptr(modifiedSnapshot(snap, func(s *Snapshot) { s.Digest++ })), err: ErrConflict},
		"a snapshot that is damaged":       {snap: ptr(modifiedSnapshot(newer, func(s *Snapshot) { s.Items = s.Items[1:] })), err: ErrDigestMismatch},
		"a snapshot of another fleet":      {snap: ptr(modifiedSnapshot(newer, func(s *Snapshot) { s.Fleet = "g" })), err: ErrForeignFleet},
		"a snapshot with a deleted key":    {snap: ptr(modifiedSnapshot(newer, func(s *Snapshot) { s.Items = append([]Item{{Key: "z", Deleted: true}}, s.Items...) })), err: ErrInvalidItem},
		"a snapshot with a key twice":      {snap: ptr(modifiedSnapshot(newer, func(s *Snapshot) { s.Items = append([]Item{s.Items[0]}, s.Items...) })), err: ErrInvalidItem},
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
			if tc.change != nil {
				err = s.Apply(*tc.change)
			} else {
				err = s.Install(*tc.snap)
			}
			if !errors.Is(err, tc.err) || (err == nil) != (tc.err == nil) {
				t.Errorf("error is %v, want %v", err, tc.err)
			}
			requireUnchanged(t, s, version, digest, items)
			if err := s.Apply(c4); err != nil || s.Digest() != newer.Digest {
				t.Errorf("the next valid change is not applied: %v", err)
			}
		})
	}
}

// ptr returns a pointer to a copy of a value.
func ptr[T any](v T) *T { return &v }

// TestFullStateRejectsWholeChanges guards against a change that exceeds a size limit and is applied in part, and against a full state that
// rejects deletions. It fills a state by bytes and by keys.
func TestFullStateRejectsWholeChanges(t *testing.T) {
	l := NewLog(LogConfig{MaxChanges: 2, MaxBytes: 1})
	for i := range MaxStateBytes / MaxValueBytes {
		if _, err := l.Append([]Item{{Key: fmt.Sprint(i), Value: make([]byte, MaxValueBytes-8)}}); err != nil {
			t.Fatal(i, err)
		}
	}
	version, bytes := l.Version(), l.State().Bytes()
	if _, err := l.Append([]Item{{Key: "small", Value: []byte("1")}, {Key: "large", Value: make([]byte, MaxValueBytes)}}); !errors.Is(err, ErrFull) {
		t.Errorf("change beyond MaxStateBytes: %v, want ErrFull", err)
	}
	if _, exists := l.State().Get("small"); exists || l.Version() != version || l.State().Bytes() != bytes {
		t.Error("the change was applied in part")
	}
	if _, err := l.Append([]Item{{Key: "0", Deleted: true}, {Key: "1", Value: make([]byte, MaxValueBytes)}}); err != nil {
		t.Errorf("a change with a deletion is rejected: %v", err)
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
		t.Errorf("change beyond MaxKeys: %v, want ErrFull", err)
	}
}

// TestDigestDependsOnContentAndVersionOnly guards against digests of equal states that differ, and of different states that are equal. It
// builds one state by changes, by changes in another order and by a snapshot, and modifies single values and the version.
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
		t.Errorf("digests of one state by changes %016x, by other changes %016x, by snapshot %016x", a.Digest(), b.Digest(), c.Digest())
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
		t.Error("the empty state has a digest other than zero")
	}
}

// TestRetainedChangesAreBounded guards against a log that exceeds its limits of changes or bytes, or returns wrong changes for a version
// that it reaches back to.
func TestRetainedChangesAreBounded(t *testing.T) {
	l := NewLog(LogConfig{MaxChanges: 8, MaxBytes: 1000})
	digests := []uint64{0}
	for i := range 100 {
		if _, err := l.Append([]Item{{Key: "k", Value: make([]byte, i%60)}}); err != nil {
			t.Fatal(err)
		}
		digests = append(digests, l.Digest())
		if l.Changes() > 8 || l.Bytes() > 1000 {
			t.Fatalf("%d changes of %d bytes are retained", l.Changes(), l.Bytes())
		}
		for v, d := range digests {
			got, ok := l.ChangesSince(uint64(v), d)
			if reached := len(digests)-1-v <= l.Changes(); ok != reached || ok && len(got) != len(digests)-1-v {
				t.Fatalf("at version %d, changes since %d: %v, %d changes", l.Version(), v, ok, len(got))
			}
			for n, c := range got {
				if c.Version != uint64(v+n+1) || c.DigestBefore != digests[v+n] {
					t.Fatalf("at version %d, changes since %d: change %d is version %d", l.Version(), v, n, c.Version)
				}
			}
			if _, ok := l.ChangesSince(uint64(v), d+1); ok {
				t.Fatalf("at version %d, changes since %d are returned for another digest", l.Version(), v)
			}
		}
	}
	if _, err := l.Append([]Item{{Key: "large", Value: make([]byte, 5000)}}); err != nil || l.Changes() != 1 {
		t.Errorf("change larger than MaxBytes: %v, %d changes retained", err, l.Changes())
	}
	if a, b := l.Snapshot(), l.Snapshot(); a != b {
		t.Error("the snapshot of one version is built twice")
	}
}

// TestLogDetectsOldConflictingChange guards against a conflicting history that is not detected because the conflicting change is older than
// the newest version: the log has to compare it with the digests that it retains.
func TestLogDetectsOldConflictingChange(t *testing.T) {
	a, b := NewLog(LogConfig{MaxChanges: 8, MaxBytes: 1000}), NewLog(LogConfig{MaxChanges: 8, MaxBytes: 1000})
	for i := range 4 {
		_, _ = a.Append([]Item{{Key: "k", Value: []byte{byte(i)}}})
		_, _ = b.Append([]Item{{Key: "k", Value: []byte{byte(i / 2)}}})
	}
	changes, _ := b.ChangesSince(1, b.entries[0].change.DigestAfter)
	if err := a.Apply(*changes[0]); !errors.Is(err, ErrConflict) {
		t.Errorf("change to version 2 of another history: %v, want ErrConflict", err)
	}
	if err := a.Install(*b.Snapshot()); !errors.Is(err, ErrConflict) {
		t.Errorf("snapshot of another history: %v, want ErrConflict", err)
	}
}

// TestMessagesRoundTrip guards against a field that is lost when a message is encoded and decoded, and against truncated or extended
// messages that are accepted.
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
		encoded := Encode(&m)
		got, err := Decode(encoded)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("%s: %v, %+v", name, err, got)
		}
		for n := range encoded {
			if got, err := Decode(encoded[:n]); err == nil {
				t.Errorf("%s truncated after %d of %d bytes is decoded: %+v", name, n, len(encoded), got)
			}
		}
		if _, err := Decode(append(encoded[:len(encoded):len(encoded)], encoded...)); err == nil {
			t.Errorf("two messages of kind %s in one are decoded", name)
		}
	}
	if _, err := Decode(make([]byte, MaxMessageBytes+1)); !errors.Is(err, ErrMalformedMessage) {
		t.Error("a message over MaxMessageBytes is decoded")
	}
	// A newer version of the protocol may have unknown fields, which are ignored.
	if m, err := Decode([]byte{0xa1, 0x18, 0x63, 0x01}); err != nil || !reflect.DeepEqual(m, Message{}) {
		t.Errorf("message with an unknown field: %v, %+v", err, m)
	}
	shared := &SharedMessage{Content: Message{Disconnect: &Disconnect{}}}
	if a, b := shared.Encoded(), shared.Encoded(); &a[0] != &b[0] {
		t.Error("a shared message is encoded twice")
	}
	small := Message{Change: &Change{Version: 1e6, DigestBefore: 1 << 63, DigestAfter: 1 << 62, Items: []Item{{Key: "config/limits", Value: []byte("0123456789")}}}}
	if n := len(Encode(&small)); n > 80 {
		t.Errorf("a change with a value of 10 bytes is encoded in %d bytes", n)
	}
}

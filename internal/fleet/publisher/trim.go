package publisher

import (
	"fmt"
	"slices"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/shardmap"
)

// trimmed is the agreed state as followers are sent it: without the slots' views, which only members need, as a follower's operations go
// through a control process. Versions are those of the agreed state, each of them: a change of views alone leads from one to the next
// with no items. So the number is the same at each control process whatever way its state was come by, what answers a put is the number
// that a follower shows, and who has a version here has what was agreed up to it. The digests are those of what is sent.
type trimmed struct {
	log    *changefeed.Log
	digest uint64 // of the whole agreed state at the log's version, as the member's core has it
}

func kept(items []changefeed.Item) []changefeed.Item {
	return slices.DeleteFunc(slices.Clone(items), func(i changefeed.Item) bool {
		_, is := shardmap.ShardFromKey(i.Key)
		return is
	})
}

// install takes a whole state; an error leaves all as it was.
func (t *trimmed) install(s *changefeed.Snapshot) error {
	if s.Version == t.log.Version() && s.Digest != t.digest {
		return fmt.Errorf("%w: a snapshot of version %d with digest %016x, here %016x", changefeed.ErrConflict, s.Version, s.Digest, t.digest)
	}
	if err := t.log.Install(*changefeed.NewSnapshot(s.Fleet, s.Version, kept(s.Items))); err != nil {
		return err
	}
	t.digest = s.Digest
	return nil
}

// apply takes the next change of the agreed state; an error leaves all as it was.
func (t *trimmed) apply(c *changefeed.Change) error {
	switch {
	case c.Version == t.log.Version() && c.DigestAfter != t.digest:
		return fmt.Errorf("%w: version %d with digest %016x, here %016x", changefeed.ErrConflict, c.Version, c.DigestAfter, t.digest)
	case c.Version != t.log.Version()+1:
		return fmt.Errorf("%w: version %d after %d", changefeed.ErrOutOfOrder, c.Version, t.log.Version())
	case c.DigestBefore != t.digest:
		return fmt.Errorf("%w: version %d is of %016x, here is %016x", changefeed.ErrDigestMismatch, c.Version, c.DigestBefore, t.digest)
	}
	if _, err := t.log.Append(kept(c.Items)); err != nil {
		return err
	}
	t.digest = c.DigestAfter
	return nil
}

package publisher

import (
	"fmt"
	"slices"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/shardmap"
)

// filteredState is the agreed state as it is sent to subscribers: without the shard configurations, which only members need, as the
// operations of a subscriber go through a control process.
//
// It has every version of the agreed state: a change of shard configurations alone becomes one without items. So a version means the same
// at each control process, however it received the state; it is the number that answers a put; and whoever has a version here has what
// was agreed up to it. The digests are those of the filtered content.
type filteredState struct {
	log          *changefeed.Log
	agreedDigest uint64 // of the complete agreed state at the log's version
}

func withoutShardConfigurations(items []changefeed.Item) []changefeed.Item {
	return slices.DeleteFunc(slices.Clone(items), func(item changefeed.Item) bool {
		_, isShard := shardmap.ShardFromKey(item.Key)
		return isShard
	})
}

// install replaces the state by a snapshot of the agreed state. An error leaves it as it was.
func (f *filteredState) install(snapshot *changefeed.Snapshot) error {
	if snapshot.Version == f.log.Version() && snapshot.Digest != f.agreedDigest {
		return fmt.Errorf("%w: a snapshot of version %d with digest %016x, here %016x", changefeed.ErrConflict, snapshot.Version, snapshot.Digest, f.agreedDigest)
	}
	filtered := changefeed.NewSnapshot(snapshot.Fleet, snapshot.Version, withoutShardConfigurations(snapshot.Items))
	if err := f.log.Install(*filtered); err != nil {
		return err
	}
	f.agreedDigest = snapshot.Digest
	return nil
}

// apply applies the next change of the agreed state. An error leaves the state as it was.
func (f *filteredState) apply(change *changefeed.Change) error {
	switch {
	case change.Version == f.log.Version() && change.DigestAfter != f.agreedDigest:
		return fmt.Errorf("%w: version %d with digest %016x, here %016x", changefeed.ErrConflict, change.Version, change.DigestAfter, f.agreedDigest)
	case change.Version != f.log.Version()+1:
		return fmt.Errorf("%w: version %d after %d", changefeed.ErrOutOfOrder, change.Version, f.log.Version())
	case change.DigestBefore != f.agreedDigest:
		return fmt.Errorf("%w: version %d is of %016x, here is %016x", changefeed.ErrDigestMismatch, change.Version, change.DigestBefore, f.agreedDigest)
	}
	if _, err := f.log.Append(withoutShardConfigurations(change.Items)); err != nil {
		return err
	}
	f.agreedDigest = change.DigestAfter
	return nil
}

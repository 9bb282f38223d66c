package publisher

import (
	"fmt"
	"slices"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/shardmap"
)

// filteredState is the agreed state as it is published to subscribers: without the shard configurations. Only members need those, because
// subscribers submit their operations through a control process.
//
// It has every version of the agreed state: a change that consists of shard configurations becomes a change without items. A version
// number therefore means the same at each control process, no matter how that process received the state. It is the number that a put
// returns, and a subscriber that has a version has everything that was agreed up to it. The digests that subscribers see are computed
// from the filtered content.
type filteredState struct {
	log          *changefeed.Log // the filtered state and its retained changes
	agreedDigest uint64          // digest of the complete agreed state at the version of log
}

// withoutShardConfigurations returns a copy of items that has no shard configurations.
func withoutShardConfigurations(items []changefeed.Item) []changefeed.Item {
	return slices.DeleteFunc(slices.Clone(items), func(item changefeed.Item) bool {
		_, isShard := shardmap.ShardFromKey(item.Key)
		return isShard
	})
}

// install replaces the state with a snapshot of the complete agreed state. On an error the state is unchanged.
func (f *filteredState) install(snapshot *changefeed.Snapshot) error {
	if snapshot.Version == f.log.Version() && snapshot.Digest != f.agreedDigest {
		return fmt.Errorf("%w: the snapshot of version %d has digest %016x, the present state has %016x", changefeed.ErrConflict, snapshot.Version, snapshot.Digest, f.agreedDigest)
	}
	filtered := changefeed.NewSnapshot(snapshot.Fleet, snapshot.Version, withoutShardConfigurations(snapshot.Items))
	if err := f.log.Install(*filtered); err != nil {
		return err
	}
	f.agreedDigest = snapshot.Digest
	return nil
}

// apply applies the next change of the complete agreed state. On an error the state is unchanged.
func (f *filteredState) apply(change *changefeed.Change) error {
	switch {
	case change.Version == f.log.Version() && change.DigestAfter != f.agreedDigest:
		return fmt.Errorf("%w: the change of version %d results in digest %016x, the present state has %016x", changefeed.ErrConflict, change.Version, change.DigestAfter, f.agreedDigest)
	case change.Version != f.log.Version()+1:
		return fmt.Errorf("%w: the change has version %d, the present state has %d", changefeed.ErrOutOfOrder, change.Version, f.log.Version())
	case change.DigestBefore != f.agreedDigest:
		return fmt.Errorf("%w: the change of version %d applies to digest %016x, the present state has %016x", changefeed.ErrDigestMismatch, change.Version, change.DigestBefore, f.agreedDigest)
	}
	if _, err := f.log.Append(withoutShardConfigurations(change.Items)); err != nil {
		return err
	}
	f.agreedDigest = change.DigestAfter
	return nil
}

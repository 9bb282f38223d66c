package contact

import (
	"go.uber.org/zap"

	"sabletally/internal/fleet/members"
)

// say writes one line of the table's for the person with the pager: what was decided, and by which figures.
func (c *Contact) say(l members.Line) {
	who := []zap.Field{zap.String("member", l.Member.Name), zap.String("id", l.Member.ID), zap.Stringer("addr", l.Member.Addr),
		zap.String("machine", l.Member.Machine), zap.String("zone", l.Member.Zone), zap.String("site", l.Member.Site),
		zap.Int("here", l.Here), zap.Int("of", l.Of)}
	log := c.opt.Log
	switch l.Kind {
	case members.Came:
		log.Info("fleet: member is here", who...)
	case members.Restarted:
		log.Info("fleet: member was restarted", who...)
	case members.Died:
		log.Warn("fleet: member is gone", who...)
	case members.Went:
		log.Info("fleet: member has left", who...)
	case members.Flaps:
		log.Warn("fleet: member comes and goes", append(who, zap.Int("times", l.Came))...)
	case members.Replaced:
		log.Warn("fleet: member's directory is lost: another one is at its address", who...)
	case members.Forgotten:
		log.Warn("fleet: member is no part of the fleet any more", who...)
	case members.Woke:
		log.Warn("fleet: this process was stopped: nothing that was known holds until most have answered", zap.Duration("for", l.For),
			zap.Int("here", l.Here))
	case members.Stands:
		told := log.Info
		if l.Standing != members.Together {
			told = log.Warn
		}
		told("fleet: standing", zap.Stringer("standing", l.Standing), zap.Int("here", l.Here), zap.Int("of", l.Of))
	case members.TooFew:
		log.Warn("fleet: too few machines are here for all copies", zap.Int("machines", l.Here), zap.Int("copies", l.Of))
	case members.Enough:
		log.Info("fleet: machines enough for all copies", zap.Int("machines", l.Here), zap.Int("copies", l.Of))
	case members.IsDoubled:
		log.Error("fleet: another process has a copy of this member's directory: end one and give it an empty directory",
			zap.String("id", l.Member.ID), zap.Stringer("addr", l.Member.Addr))
	}
}

package membership

import "time"

// Kind of a line for the log.
type Kind uint8

const (
	Came      Kind = iota // Member is here
	Died                  // Member was found dead or out of reach
	Went                  // Member said that it goes
	Flaps                 // Member came back once more within a short time
	Restarted             // Member's process is another one, with the same directory: what it had in memory is lost
	Replaced              // Member's address has a directory of another member's: its own is lost
	Forgotten             // Member was gone for too long to be a part of the fleet
	Woke                  // this process was stopped For so long
	Stands                // Standing has changed: Here of Of, this member among them
	TooFew                // Here machines for Of copies
	Enough                // again
	IsDoubled             // another process at Member.Addr has this member's directory
)

// Line is one thing that operators are told: what was decided, with its figures.
type Line struct {
	Kind     Kind
	Member   Member
	Came     int // times that Member came back of late
	Standing Standing
	For      time.Duration
	Here, Of int
}

func (t *Table) tell(kind Kind, k *Known) {
	t.act(Action{Do: Tell, Line: Line{Kind: kind, Member: k.Member, Came: k.Came, Here: t.here() + 1, Of: t.fleet() + 1}})
}

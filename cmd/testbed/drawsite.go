// This file owns the command that draws a deployment for the bench: which file is read, and where the drawn one is written.

package main

import (
	"os"

	"sabletally/internal/lab/sitefile"
)

type drawSiteCmd struct {
	Base string        `arg:"" help:"Site file whose other figures are kept." type:"existingfile"`
	Seed uint64        `help:"The same seed draws the same deployment." default:"1"`
	Size sitefile.Size `help:"Connections that fill a core: small is 2 to 16, large 16 to 400." enum:"any,small,large" default:"any"`
}

func (c *drawSiteCmd) Run() error {
	base, err := os.ReadFile(c.Base)
	if err != nil {
		return err
	}
	d, err := sitefile.NewDrawer(c.Seed, c.Size)
	if err != nil {
		return err
	}
	drawn, err := d.Apply(base)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(drawn)
	return err
}

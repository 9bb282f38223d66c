package main

import (
	"os"

	"sabletally/internal/lab/sitefile"
)

// drawSiteCmd prints a site file with a deployment drawn at random.
type drawSiteCmd struct {
	Base string        `arg:"" help:"Site file that provides all other figures." type:"existingfile"`
	Seed uint64        `help:"The same seed draws the same deployment." default:"1"`
	Size sitefile.Size `help:"Connections that fill a core: small is 2 to 16, large 16 to 400." enum:"any,small,large" default:"any"`
}

func (c *drawSiteCmd) Run() error {
	base, err := os.ReadFile(c.Base)
	if err != nil {
		return err
	}
	drawer, err := sitefile.DrawDeployment(c.Seed, c.Size)
	if err != nil {
		return err
	}
	drawn, err := drawer.Apply(base)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(drawn)
	return err
}

// This file describes the steps of the fault schedule as text, for the printed log of a run.

package cluster

import (
	"fmt"

	"sabletally/internal/lab/faults"
)

// actionTexts are the descriptions of actions in the printed log of a run.
var actionTexts = map[faults.Action]string{
	faults.StartServer: "starts", faults.DrainServer: "drains", faults.StopServer: "stops", faults.CrashServer: "crashes", faults.RestartServer: "is back, cold",
	faults.SilenceServer: "vanishes", faults.UnsilenceServer: "speaks again", faults.SetSlow: "slower, times", faults.SetErrors: "fails, share",
	faults.SetFull: "full", faults.SetDrip: "drips", faults.SetTornLines: "tears lines", faults.SetHalfOpen: "half open",
	faults.SetStoreSlow: "the store is slower, times", faults.SetDiscoveryReachable: "discovery in reach", faults.SetListDelay: "the list comes later",
	faults.SetDiscoveryFaulty: "discovery answers with faults", faults.HideServer: "is missing from the list", faults.ShowServer: "is in the list again",
	faults.DropClients: "clients drop, share", faults.KillBalancer: "is killed", faults.StartBalancer: "starts again",
	faults.RestartBalancer: "restarts as planned", faults.ReloadAll: "all balancers reload", faults.SetMisbehavingClients: "bad clients a second",
	faults.UpgradeBalancer: "gets a new process beside it", faults.DrainBalancer: "is emptied", faults.SetMoreClasses: "all balancers are retuned",
	faults.SetSilentClients: "clients that never finish, a second", faults.SetFragmentedLines: "clients write in pieces",
	faults.SetMemberLinks: "ways between members", faults.StallBalancer: "is stopped", faults.LoseBalancer: "is lost with its directory",
	faults.SetLinkDelay: "its link is later", faults.SetLinkCut: "its link is cut",
}

// describe returns the description of a step, with its target and its values.
func describe(step faults.Step) string {
	text := actionTexts[step.Action]
	switch {
	case step.OnServer():
		text = serverName(step.Target) + " " + text
	case step.Action == faults.SetMemberLinks:
		text = fmt.Sprintf("%s %b: %+v", text, step.Members, step.Link)
	case step.Action == faults.StallBalancer || step.Action == faults.LoseBalancer || step.Action == faults.KillBalancer || step.Action == faults.StartBalancer || step.Action == faults.RestartBalancer:
		text = fmt.Sprintf("balancer n%d %s", step.Target, text)
	}
	if step.Value != 0 {
		text += fmt.Sprintf(" %g", step.Value)
	}
	if step.For != 0 {
		text += fmt.Sprintf(" %v", step.For)
	}
	return text
}

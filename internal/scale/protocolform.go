package scale

import "irispost/internal/fleet/client"

// renewalFormats is the number of renewal formats that this build's clients support. If it is 1, there is no previous
// format to test, and the case "forms" is reported as not run.
const renewalFormats = 2

// usePreviousFormat makes a client send renewals in the previous build's format. No other place depends on what that
// format is.
func usePreviousFormat(options *client.Options) { options.FullVersions = true }

// mixedRenewalFormats makes changes while every second gateway sends renewals in the previous build's format.
func mixedRenewalFormats(fleet *Fleet, result *Result) error {
	result.Figures["forms"] = renewalFormats
	if renewalFormats < 2 {
		result.NotRun = "this build's clients support a single renewal format, so there is no previous one to test"
		return nil
	}
	for i, gateway := range fleet.Gateways {
		gateway.previousFormat = i%2 == 1
	}
	fleet.kill(fleet.Gateways)
	if err := fleet.start(fleet.Gateways); err != nil {
		return err
	}
	for i := range fleet.Size.ChangesPerFault + 1 {
		change, err := fleet.propose("a change for both forms", raiseRateLimit)
		if err != nil {
			return err
		}
		if i == 0 {
			fleet.defectiveGateway().defectVersion.Store(change.Version)
		}
		if laggards := fleet.awaitVersion(change.Version, noGateway); len(laggards) > 0 {
			result.Violations = append(result.Violations, laggards...)
			return nil
		}
	}
	result.checkEndState(fleet, 0)
	return nil
}

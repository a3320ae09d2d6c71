package audit

const (
	nanosecondsPerSecond = 1e9
	roundingTolerance    = 1e-6 // in units, for sums of floating-point numbers
)

// checkVolumeLimits checks that the first attempts of a volume's requests, from all gateways together, stay within the
// volume's token bucket.
func (t *trace) checkVolumeLimits() RuleResult {
	result := RuleResult{Name: RuleVolumeLimits}
	type tokenBucket struct {
		tokens float64
		at     int64
	}
	buckets := map[int64]*tokenBucket{}
	for _, attempt := range t.attempts {
		limit, limited := t.parameters.VolumeLimits[attempt.Volume]
		if !limited || attempt.Attempt > 0 {
			continue
		}
		bucket := buckets[attempt.Volume]
		if bucket == nil {
			bucket = &tokenBucket{limit.Burst, attempt.At}
			buckets[attempt.Volume] = bucket
		}
		refill := limit.Rate * float64(attempt.At-bucket.at) / nanosecondsPerSecond
		bucket.tokens = min(limit.Burst, bucket.tokens+refill) - attempt.Units
		bucket.at = attempt.At
		result.Checked++
		if bucket.tokens < -limit.Slack-roundingTolerance {
			result.addViolation("volume %d exceeds its limit by %.1f units", attempt.Volume, -bucket.tokens)
		}
	}
	return result
}

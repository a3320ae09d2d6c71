package scheduler

// chance is a permuted congruential generator (PCG-XSH-RR, 64 bits of state, 32 of output).
type chance uint64

func newChance(seed uint64) chance {
	c := chance(seed + 1442695040888963407)
	c.next()
	return c
}

func (c *chance) next() uint32 {
	old := uint64(*c)
	*c = chance(old*6364136223846793005 + 1442695040888963407)
	mixed, turn := uint32((old>>18^old)>>27), uint32(old>>59)
	return mixed>>turn | mixed<<(-turn&31)
}

// part returns a number from 0 up to, but not including, 1.
func (c *chance) part() float64 { return float64(c.next()) / (1 << 32) }

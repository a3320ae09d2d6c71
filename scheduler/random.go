package scheduler

// pcg32 is a PCG-XSH-RR random number generator with 64 bits of state and 32 bits of output.
type pcg32 uint64

// Parameters of the generator as published by its author.
const (
	pcgMultiplier = 6364136223846793005
	pcgIncrement  = 1442695040888963407
)

// newPCG32 returns a generator whose sequence is determined by the seed.
func newPCG32(seed uint64) pcg32 {
	p := pcg32(seed + pcgIncrement)
	p.uint32()
	return p
}

// uint32 returns the next number.
func (p *pcg32) uint32() uint32 {
	old := uint64(*p)
	*p = pcg32(old*pcgMultiplier + pcgIncrement)
	xorShifted := uint32((old>>18 ^ old) >> 27)
	rotation := uint32(old >> 59)
	return xorShifted>>rotation | xorShifted<<(-rotation&31)
}

// float64 returns the next number in the half-open interval [0, 1).
func (p *pcg32) float64() float64 { return float64(p.uint32()) / (1 << 32) }

package serve

import (
	"context"
	"time"
)

// sweepOrphans removes objects that no file refers to, one shard per tick, until the context is done.
func (g *Gateway) sweepOrphans(ctx context.Context) {
	ticker := time.NewTicker(g.Config.SweepInterval)
	defer ticker.Stop()
	for shard := 0; ; shard = (shard + 1) % g.Config.Shards {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		scanned, removed, err := g.Frontend.Sweep(shard, g.Config.SweepMinAge)
		switch {
		case err != nil:
			g.logger.Warn("orphan sweep failed",
				"gateway", g.Config.Name, "shard", shard, "scanned", scanned, "removed", removed, "err", err)
		case removed > 0:
			g.logger.Info("orphan sweep removed objects",
				"gateway", g.Config.Name, "shard", shard, "scanned", scanned, "removed", removed)
		}
	}
}

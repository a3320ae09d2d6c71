# Two operators propose at the same time, again and again, over links that are slow and trickle.
seed     = 7
length   = "14s"
config   = "canteen.hcl"
gateways = 12
keepers  = 3
lease    = "1s"
drift    = 0.01

node "a" {
  shard = 0
  cores = 2
  unit  = "3ms"
  queue = 64
}
node "b" {
  shard = 1
  cores = 2
  unit  = "3ms"
  queue = 64
}
node "c" {
  shard = 2
  cores = 2
  unit  = "3ms"
  queue = 64
}

client "kitchen" {
  count   = 12
  volume  = "orders"
  do      = "read"
  rate    = 8
  files   = 2
  blocks  = 2
  retries = 2
}
client "cook" {
  count   = 6
  volume  = "orders"
  do      = "write"
  rate    = 4
  files   = 2
  blocks  = 2
  retries = 2
}

trouble {
  at  = "3s"
  for = "6s"
  between = ["k1,k2,k3", "g1,g2,g3,g4,g5,g6"]
  do = "slow 40ms"
}
trouble {
  at  = "4s"
  for = "4s"
  between = ["k1", "g7,g8,g9"]
  do = "trickle"
}
trouble {
  at  = "3s"
  for = "6s"
  between = ["k1", "k2,k3"]
  do = "slow 10ms"
}
trouble {
  at = "5s"
  node = "b"
  do = "replace"
}
change {
  at    = "2s"
  every = "1s"
  plan  = "capped"
  limit = 60
  race  = 2
}

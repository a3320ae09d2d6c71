# All keepers are killed for a while; the gateways serve on by the floor of their version, and a replacement waits until that has run out.
seed     = 7
length   = "18s"
config   = "canteen.hcl"
gateways = 12
keepers  = 3
lease    = "1s"
drift    = 0.01
floor    = "2s"

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
  for = "5s"
  keeper = "all"
  do = "kill"
}
trouble {
  at  = "9s"
  for = "3s"
  between = ["k1,k2,k3", "g1,g2,g3"]
  do = "cut"
}
trouble {
  at = "9500ms"
  node = "b"
  do = "replace"
}

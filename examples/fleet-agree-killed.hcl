# Keepers are killed one after another and all at once, and come back; two gateways are killed; nodes are replaced meanwhile.
seed     = 7
length   = "18s"
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
  for = "2s"
  keeper = "k1"
  do = "kill"
}
trouble {
  at  = "6s"
  for = "2s"
  keeper = "k2"
  do = "kill"
}
trouble {
  at  = "9s"
  for = "2s"
  keeper = "all"
  do = "kill"
}
trouble {
  at  = "4s"
  for = "1s"
  gateway = "g1"
  do = "kill"
}
trouble {
  at  = "13s"
  for = "1s"
  keeper = "k3"
  do = "kill"
}
trouble {
  at  = "5s"
  for = "1s"
  gateway = "g2"
  do = "kill"
}
trouble {
  at = "3100ms"
  node = "b"
  do = "replace"
}
trouble {
  at = "10s"
  node = "c"
  do = "replace"
}

# One-way cuts: two gateways hear but are not heard, two are heard but do not hear, a keeper does not hear the others, while a node is replaced.
seed     = 7
length   = "16s"
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
  for = "5s"
  between = ["g1,g2", "k1,k2,k3"]
  do = "mute"
}
trouble {
  at  = "3s"
  for = "5s"
  between = ["g3,g4", "k1,k2,k3"]
  do = "deaf"
}
trouble {
  at  = "5s"
  for = "4s"
  between = ["k1", "k2,k3"]
  do = "deaf"
}
trouble {
  at = "4s"
  node = "b"
  do = "replace"
}
trouble {
  at = "9s"
  node = "a"
  do = "replace"
}

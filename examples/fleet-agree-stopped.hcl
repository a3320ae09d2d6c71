# Gateways and a keeper stand still (SIGSTOP) in the middle of a change and go on after it.
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
  at  = "3900ms"
  for = "4s"
  gateway = "g1"
  do = "stop"
}
trouble {
  at  = "4050ms"
  for = "3s"
  gateway = "g2"
  do = "stop"
}
trouble {
  at  = "4100ms"
  for = "600ms"
  gateway = "g3"
  do = "stop"
}
trouble {
  at  = "4s"
  for = "3s"
  keeper = "k1"
  do = "stop"
}
trouble {
  at = "4s"
  node = "b"
  do = "replace"
}
trouble {
  at  = "9s"
  for = "1500ms"
  keeper = "k2"
  do = "stop"
}
trouble {
  at = "9s"
  node = "c"
  do = "replace"
}

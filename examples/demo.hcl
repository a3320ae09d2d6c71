# The gateway of `irispost demo`: one volume, three shards.
gateway "demo" {
  listen = "127.0.0.1:2022"
  nodes  = "nodes.hcl"
  shards = 3
}

plan "basic" {
  rate = 2000 # units a second for which a volume is sized
}

product "file-read" {
  goal     = "1s"
  patience = "5s"
}

product "file-write" {
  goal     = "1s"
  patience = "5s"
  in_turn  = true
}

product "file-change" {
  kind     = "referenced"
  group    = "shard"
  window   = "30s"
  goal     = "1s"
  patience = "5s"
}

volume "home" {
  id   = 1
  plan = "basic"
  product "file-read" {
    for = ["read", "look"]
  }
  product "file-write" {
    for = ["write"]
  }
  product "file-change" {
    for = ["change"]
  }
}

"""World objects, messages, settings and decisions of bilberryplank, without I/O."""

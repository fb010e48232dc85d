from bilberryplank_core.keys import digest_secret
from bilberryplankctl.tests._fleet import HASH_SECRET, CommandCase


class KeyTest(CommandCase):
    def setUp(self):
        super().setUp()
        self.apply()

    def keys(self):
        return self.command_json("get")[1]["document"]["keys"]

    def test_a_key_is_shown_once_and_kept_as_a_digest(self):
        labels = ("--label", "kind=till", "depot=north")
        code, created = self.command_json("key", "create", "org-a", *labels)
        self.assertEqual((code, created["organisation"]), (0, "org-a"))
        (key,) = self.keys()
        self.assertEqual(key["digest"], digest_secret(created["secret"], HASH_SECRET))
        self.assertEqual(key["labels"], {"kind": "till", "depot": "north"})
        for command in (("key", "list"), ("get",), ("key", "withdraw", created["key_id"])):
            self.assertNotIn(created["secret"], "".join(map(str, self.command(*command))))
        self.assertNotIn(created["secret"], str(self.table.rows))

    def test_withdrawing_marks_the_key(self):
        created = self.command_json("key", "create", "org-a")[1]
        code, out, _ = self.command("key", "withdraw", created["key_id"])
        self.assertEqual(code, 0)
        self.assertIn(f"key {created['key_id']} is withdrawn", out)
        self.assertTrue(self.keys()[0]["withdrawn"])
        self.assertIn("withdrawn", self.command("key", "list", "--organisation", "org-a")[1])
        self.assertNotIn("org-a", self.command("key", "list", "--organisation", "org-b")[1])

    def test_faults_have_their_exit_codes(self):
        cases = [
            (("key", "create", "org-z"), 6, "no organisation 'org-z'"),
            (("key", "withdraw", "key-z"), 6, "no key 'key-z'"),
            (("key", "create", "org-a", "--label", "x"), 2, "not a label"),
            (("key", "create", "org-a", "--label", "x=1", "x=2"), 2, "stands twice"),
            (("key", "create", "org-a", "--label", "x=1", "--label", "y=2"), 2, "one --label"),
            (("key", "create", "org-a", "--lab", "x=1", "--la=y=2"), 2, "one --label"),
            (("key", "create", "org-a", "--label", "x=a b"), 3, "labels: 'x' is 'a b'"),
            (("key", "create"), 2, "required"),
        ]
        for command, expected, text in cases:
            with self.subTest(command=command):
                code, out, err = self.command(*command)
                self.assertEqual((code, out), (expected, ""))
                self.assertIn(text, err)
        self.assertEqual(self.keys(), [])

    def test_a_lost_answer_is_settled_and_an_unknown_outcome_names_the_key(self):
        self.table.lost = 1
        self.assertEqual(self.command_json("key", "create", "org-a")[0], 0)
        self.assertEqual(len(self.keys()), 1)
        self.table.lost, self.table.dies = 1, True
        code, out, err = self.command("key", "create", "org-a")
        self.assertEqual((code, out), (5, ""))
        self.table.down = False
        key = self.keys()[-1]
        self.assertIn(f"key {key['key_id']} may exist: withdraw it", err)


class UpstreamTest(CommandCase):
    def test_the_drain_flag_is_set_and_cleared(self):
        self.apply()
        for command, draining, text in (("drain", True, "no new"), ("undrain", False, "again")):
            with self.subTest(command=command):
                code, out, _ = self.command("upstream", command, "m1")
                self.assertEqual(code, 0)
                self.assertIn(text, out)
                upstreams = self.command_json("get")[1]["document"]["upstreams"]
                self.assertEqual(upstreams[0]["draining"], draining)
        self.assertEqual(self.command("upstream", "drain", "m9")[0], 6)

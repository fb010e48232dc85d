from bilberryplankctl.tests._fleet import CommandCase


class EngineOrderTest(CommandCase):
    def setUp(self):
        super().setUp()
        self.apply()

    def asked(self):
        rows = [row for (table, _), row in self.table.rows.items() if table == "engine_orders"]
        return {row.key: row.value for row in rows}

    def test_an_order_is_written_down(self):
        command = ("engine", "order", "m1", "load_adapter", "routes-v2")
        code, asked = self.command_json(*command)
        self.assertEqual(code, 0)
        value = {"upstream": "m1", "action": "load_adapter", "argument": "routes-v2"}
        self.assertEqual(self.asked(), {f"asked/{asked['order_id']}": value})
        self.assertIn("is asked for: m1 load_adapter routes-v2", self.command(*command)[1])
        self.assertEqual(len(self.asked()), 2)

    def test_faults_have_their_exit_codes(self):
        cases = [
            (("m9", "load_model", "a"), 6, "no upstream 'm9'"),
            (("m1", "dance", "a"), 2, "dance"),
            (("m1", "load_model"), 2, "required"),
        ]
        for arguments, expected, text in cases:
            with self.subTest(arguments=arguments):
                code, _, err = self.command("engine", "order", *arguments)
                self.assertEqual(code, expected)
                self.assertIn(text, err)
        self.assertEqual(self.asked(), {})

"""Steps of online_chat.feature."""

from behave import then, when
from behave.runner import Context
from click.testing import CliRunner

from features import builders_online as online
from guavadyke.cli_chat import chat
from guavadyke.standins.completion_format import answer_text, chat_prompt

_TEXT = 'is an angel free?'
_DEFAULT_TOKENS = 16


def _run(context: Context, model: str, *options: str) -> None:
    url = context.bench.hosts[0].url
    arguments = ['--url', url, '--key', online.CALLER_KEY, '--model', model]
    context.shown = CliRunner().invoke(chat, [*arguments, *options, _TEXT])


@when('the chat command asks for a {shape} answer')
def step_ask(context: Context, shape: str) -> None:
    options = ['--stream'] if shape == 'streamed' else []
    _run(context, 'desk', *options)


@when('the chat command asks an unknown model')
def step_unknown(context: Context) -> None:
    _run(context, 'nobody')


@then('it prints the answer of the engine and exits 0')
def step_printed(context: Context) -> None:
    prompt = chat_prompt([{'role': 'user', 'content': _TEXT}])
    expected = answer_text(prompt, _DEFAULT_TOKENS)
    assert context.shown.output == f'{expected}\n', context.shown.output
    assert context.shown.exit_code == 0


@then('it names "{code}" and "{run}" and exits 1')
def step_refusal(context: Context, code: str, run: str) -> None:
    assert context.shown.exit_code == 1
    assert code in context.shown.output, context.shown.output
    assert run in context.shown.output, context.shown.output

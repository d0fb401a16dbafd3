import { getHeadFault, type ResponseHead } from '../responseHead';

const SOUND: ResponseHead = {
  version: '1.1',
  status: 200,
  reason: 'OK',
  fields: ['Content-Length', '2'],
};

const CHUNKED = ['Transfer-Encoding', 'chunked'];
const LONG = 'y'.repeat(5000);

const FAULTS: readonly (readonly [string, Partial<ResponseHead>])[] = [
  ['an old version', { version: '0.9' }],
  ['a new version', { version: '2.0' }],
  ['an interim status', { status: 100 }],
  ['a status too low', { status: 99 }],
  ['a status too high', { status: 600 }],
  ['a control byte in the reason phrase', { reason: 'O\u0001K' }],
  ['a character of two bytes in the reason phrase', { reason: 'O\u0100K' }],
  ['an empty name', { fields: ['', '1'] }],
  ['a name with a blank', { fields: ['X Odd', '1'] }],
  ['a long name', { fields: [`X ${LONG}`, '1'] }],
  ['a value with a line end', { fields: ['X-Odd', 'a\r\nX: b'] }],
  ['a long value', { fields: ['X-Odd', `\u0001${LONG}`] }],
  ['too many fields', { fields: new Array<string>(2002).fill('a') }],
  ['two lengths', { fields: ['Content-Length', '2', 'content-length', '2'] }],
  ['a list of lengths', { fields: ['Content-Length', '2, 2'] }],
  ['an empty length', { fields: ['Content-Length', ''] }],
  ['a huge length', { fields: ['Content-Length', '9'.repeat(30)] }],
  ['a length without content', { status: 204 }],
  ['another coding', { fields: ['Transfer-Encoding', 'gzip'] }],
  ['a coding before chunks', { fields: ['Transfer-Encoding', 'gzip, chunked'] }],
  ['chunks twice', { fields: [...CHUNKED, ...CHUNKED] }],
  ['chunks beside a length', { fields: [...CHUNKED, 'Content-Length', '2'] }],
  ['chunks in HTTP/1.0', { version: '1.0', fields: CHUNKED }],
];

it('the faults of heads are told in few words', () => {
  const faults = FAULTS.map(([name, changes]) => [name, getHeadFault({ ...SOUND, ...changes })]);

  expect(faults).toMatchSnapshot();
});

it.each<[string, Partial<ResponseHead>]>([
  ['a length', {}],
  ['chunks', { fields: CHUNKED }],
  ['chunks in capitals', { fields: ['TRANSFER-ENCODING', 'Chunked'] }],
  ['neither', { fields: [] }],
  ['an unknown version', { version: undefined }],
  ['HTTP/1.0', { version: '1.0' }],
  ['no reason phrase', { reason: '' }],
  ['bytes above 127', { reason: '\u00fc', fields: ['X-Odd', '\u0080\u00ff'] }],
  ['a tab and an empty value', { fields: ['X-Odd', 'a\tb', 'X-Odd', ''] }],
  ['names that objects inherit', { fields: ['__proto__', 'a', 'constructor', 'b'] }],
  ['no content', { status: 204, fields: ['Content-Length', '0'] }],
  ['the length of a body that is not sent', { status: 304 }],
])('a head with %s is sound', (_, changes) => {
  expect(getHeadFault({ ...SOUND, ...changes })).toBeUndefined();
});
